/** Callers' library: resends with the same key, respects retry times and accepts only complete answers. */
export { addFrame, emptyAnswer } from './answers/addFrame.js'
export type { AnswerEnd, AnswerSoFar } from './answers/addFrame.js'
export { createCaller } from './calling/createCaller.js'
export { FRAME_TIMEOUT_MS } from './calling/constants.js'
export type * from './calling/types.js'
export { ClientEvent } from './events.js'
