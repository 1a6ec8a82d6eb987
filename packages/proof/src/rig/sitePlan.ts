import type { IniSections } from './types.js'

type Keys = Readonly<Record<string, string | number | boolean>>

/** One entry instance. */
export interface RouterPlan {
  readonly name: string
  readonly dataCentre?: string
  /** Connections that get a proxy: from this router to the log or the list, or from peers to this router. */
  readonly proxied?: ReadonlyArray<'log' | 'list' | 'peer'>
  /** Further sections of its settings. */
  readonly sections?: IniSections
}

/** One backend server with the agent beside it. */
export interface AgentPlan {
  readonly name: string
  readonly dataCentre?: string
  readonly services: readonly string[]
  readonly backend?: 'engine' | 'plain'
  /** `[standin]` keys of the backend server. */
  readonly backendKeys?: Keys
  /** Connections that get a proxy: from this agent to its engine, the log or the list, or from peers to this agent. */
  readonly proxied?: ReadonlyArray<'engine' | 'log' | 'list' | 'peer'>
  readonly sections?: IniSections
}

/** Everything that a site consists of. */
export interface SitePlan {
  readonly name: string
  readonly routers: readonly RouterPlan[]
  readonly agents: readonly AgentPlan[]
  /** `[standin]` keys of the platform's three services. */
  readonly log?: Keys
  readonly list?: Keys
  readonly weights?: Keys
}

/** One item of the configuration as an operator applies it. */
export interface ConfigChange {
  readonly name: string
  readonly body: object
}

interface ModelPlan {
  readonly name: string
  readonly maxReplicas?: number
  readonly minReplicas?: number
  readonly memoryMb?: number
  readonly checkpointMb?: number
  readonly adapters?: ReadonlyArray<{ readonly name: string, readonly memoryMb: number }>
  readonly versions?: readonly string[]
  readonly currentVersion?: string
}

/** A service of models with small figures, so that a cold start takes well under a second. */
export const modelService = (name: string, models: readonly ModelPlan[], priorities: Readonly<Record<string, number>> = {}): ConfigChange => ({
  name: `service/${name}`,
  body: {
    kind: 'models',
    models: models.map(model => ({
      versions: ['v1'], currentVersion: 'v1', minReplicas: 0, maxReplicas: 1, memoryMb: 10_000, checkpointMb: 4000, adapters: [], ...model
    })),
    priorities
  }
})

/** A service of plain HTTP calls. */
export const plainService = (name: string): ConfigChange => ({ name: `service/${name}`, body: { kind: 'plain' } })
