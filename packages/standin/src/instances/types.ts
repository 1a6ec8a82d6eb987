/** One entry of the platform's list. */
export interface ListedInstance {
  readonly name: string
  readonly role: 'router' | 'agent'
  readonly dataCentre: string
  readonly peerAddress: string
  readonly backendAddress: string
  readonly leaving: boolean
}

/** The list as it became at a point of time. */
export interface ListVersion {
  readonly atMs: number
  readonly instances: readonly ListedInstance[]
}
