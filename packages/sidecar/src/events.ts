import { defineEvents } from '@figmount/base'

/** What an agent on the HTTP path reports. */
export const SidecarEvent = defineEvents({
  engineUp: [3501, 'the engine beside the agent answers'],
  engineDown: [3502, 'the engine beside the agent does not answer'],
  engineNamed: [3514, 'the agent learned which start of the engine it acts on'],
  engineUnnamed: [3515, 'the engine did not tell its id'],
  engineForgotten: [3516, 'the start of the engine that the agent acted on has gone'],
  engineDraining: [3503, 'the engine beside the agent is leaving'],
  orderSent: [3504, 'an order was given to the engine'],
  orderAnswered: [3505, 'the engine answered an order'],
  orderUnanswered: [3506, 'an order got no answer: it may be carried out, now or later'],
  wantTaken: [3507, 'a router asked for a model or an adapter'],
  wantMet: [3508, 'what a router asked for is in place'],
  wantGivenUp: [3509, 'what a router asked for did not come in time'],
  deploymentTaken: [3510, 'a newer configuration is in force'],
  feedLost: [3511, 'the store does not answer'],
  feedRegained: [3512, 'the store answers again'],
  recordRefused: [3513, 'a record of the store could not be read'],
  engineRestarted: [3517, 'the engine beside the agent has started again: it holds nothing and counts anew']
})
