/** One entry of the platform's instance list. */
export interface ListedInstance {
  readonly name: string
  readonly role: 'router' | 'agent'
  readonly dataCentre: string
  readonly peerAddress: string
  readonly backendAddress: string
  readonly leaving: boolean
}

/** The list of instances from `atMs` on, until the next version. */
export interface ListVersion {
  readonly atMs: number
  readonly instances: readonly ListedInstance[]
}
