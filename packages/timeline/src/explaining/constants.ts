/**
 * Events this long before a request's first event may be related to it: the end of a server is detected within two reports, and the
 * balancer takes two seconds to stop sending to a router.
 */
export const LOOKBACK_MS = 2_000

/** State changes of backend servers, related to a request that was sent to the server. */
export const SERVER_EVENTS: ReadonlySet<string> = new Set([
  'serverTaken', 'serverLeft', 'engineUp', 'engineDown', 'engineNamed', 'engineForgotten', 'engineDraining'
])

/** Load requests and orders for a model, related to a request for the model. */
export const MODEL_EVENTS: ReadonlySet<string> = new Set([
  'wantTaken', 'wantMet', 'wantGivenUp', 'orderSent', 'orderAnswered', 'orderUnanswered', 'replicaAsked'
])

/** State changes of a process, related to a request that the process handled. */
export const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  'processStarted', 'processStopping', 'processStopped', 'requestsCutShort', 'requestsUnanswered',
  'feedLost', 'feedRegained', 'deploymentTaken', 'agentLost', 'agentFound'
])
