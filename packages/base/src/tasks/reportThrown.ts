import { faultFrom } from '../errors/makeFault.js'
import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'

/** Reports what a step has thrown as an event. */
export const reportThrown = (events: EventLog, step: string, peer: string, thrown: unknown): void => {
  events.emit(BaseEvent.unexpectedFault, { step, peer, reason: faultFrom(step, peer)(thrown).message })
}
