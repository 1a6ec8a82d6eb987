/**
 * Lines this long before a request's first one may bear on it: a server's end is noticed within two reports, and the balancer
 * takes two seconds to leave a router out.
 */
export const LOOK_BACK_MS = 2_000

/** What becomes of the backend servers that a request met. */
export const SERVER_NAMES: ReadonlySet<string> = new Set([
  'serverTaken', 'serverLeft', 'engineUp', 'engineDown', 'engineNamed', 'engineForgotten', 'engineDraining'
])

/** What is done about a model. */
export const MODEL_NAMES: ReadonlySet<string> = new Set([
  'wantTaken', 'wantMet', 'wantGivenUp', 'orderSent', 'orderAnswered', 'orderUnanswered', 'replicaAsked'
])

/** What happens to the process that serves a request. */
export const PROCESS_NAMES: ReadonlySet<string> = new Set([
  'processStarted', 'processStopping', 'processStopped', 'requestsCutShort', 'requestsUnanswered',
  'feedLost', 'feedRegained', 'deploymentTaken', 'agentLost', 'agentFound'
])
