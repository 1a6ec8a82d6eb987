/** The caller's library: resends with the same key, waits as told, takes only whole answers. */
export { gatherFrame, nothingGathered } from './answers/gatherAnswer.js'
export type { AnswerEnd, Gathered } from './answers/gatherAnswer.js'
export { createCaller } from './calling/createCaller.js'
export { FRAME_SILENCE_MS } from './calling/constants.js'
export type * from './calling/types.js'
export { ClientEvent } from './events.js'
