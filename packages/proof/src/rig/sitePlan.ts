import type { IniSections } from './types.js'

type StandinKeys = Readonly<Record<string, string | number | boolean>>

/** One router instance. */
export interface RouterPlan {
  readonly name: string
  readonly dataCentre?: string
  /** Connections that go through a proxy: from this router to the log or the list, or from peers to this router. */
  readonly proxied?: ReadonlyArray<'log' | 'list' | 'peer'>
  /** Additional sections of its settings file. */
  readonly sections?: IniSections
  readonly nodeArguments?: readonly string[]
}

/** One backend server and its agent. */
export interface AgentPlan {
  readonly name: string
  readonly dataCentre?: string
  readonly services: readonly string[]
  readonly backend?: 'engine' | 'plain'
  /** `[standin]` settings of the backend server. */
  readonly backendKeys?: StandinKeys
  /** Connections that go through a proxy: from this agent to its engine, the log or the list, or from peers to this agent. */
  readonly proxied?: ReadonlyArray<'engine' | 'log' | 'list' | 'peer'>
  readonly sections?: IniSections
  readonly nodeArguments?: readonly string[]
}

/** Everything that runs in a site. */
export interface SitePlan {
  readonly name: string
  readonly routers: readonly RouterPlan[]
  readonly agents: readonly AgentPlan[]
  /** `[standin]` settings of the platform's log, instance list and weight store. */
  readonly log?: StandinKeys
  readonly list?: StandinKeys
  readonly weights?: StandinKeys
}

/** One configuration item, as an operator applies it. */
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

/** A service of models with small sizes, so that a cold start takes well under a second. */
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
