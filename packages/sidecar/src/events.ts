import { defineEvents } from '@figmount/base'

/** Events that an agent on the HTTP path emits. */
export const SidecarEvent = defineEvents({
  engineUp: [3501, 'the engine beside the agent answers'],
  engineDown: [3502, 'the engine beside the agent does not answer'],
  engineNamed: [3514, 'the agent has read the id of the running start of the engine'],
  engineUnnamed: [3515, 'the engine did not return its id'],
  engineForgotten: [3516, 'the start of the engine that the agent sent orders to is gone'],
  engineDraining: [3503, 'the engine beside the agent drains before it stops'],
  orderSent: [3504, 'the agent sent an order to the engine'],
  orderAnswered: [3505, 'the engine answered an order'],
  orderUnanswered: [3506, 'an order got no answer: the engine may carry it out, now or later'],
  wantTaken: [3507, 'a router asked for a model or an adapter'],
  wantMet: [3508, 'the model or adapter that a router asked for is in place'],
  wantGivenUp: [3509, 'the model or adapter that a router asked for was not in place in time'],
  deploymentTaken: [3510, 'a newer configuration is in force'],
  feedLost: [3511, 'the store does not answer'],
  feedRegained: [3512, 'the store answers again'],
  recordRefused: [3513, 'a record of the store could not be decoded'],
  leaseAwaited: [3518, 'a load from the weight store waits for a lease'],
  leaseTaken: [3519, 'the agent has a lease for a load from the weight store'],
  leaseReleased: [3520, 'the agent gave back a lease for a load from the weight store'],
  leaseLeft: [3524, 'the load of a lease was lost with its engine: the lease stands until it expires'],
  leasesLost: [3521, 'the leases cannot be read or written: loads from the weight store begin without one'],
  leasesRegained: [3522, 'the leases can be read and written again'],
  storeLimitChanged: [3523, 'the number of loads that the weight store carries at full speed was estimated anew'],
  engineRestarted: [3517, 'the engine beside the agent has restarted: it holds no models and its order count begins again']
})
