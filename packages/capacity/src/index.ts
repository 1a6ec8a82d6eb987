/** The capacity page: slopes fitted to measurements, and the resources each role needs at the target size. */
export { fitSlope } from './slopes/fitSlope.js'
export type * from './slopes/types.js'
export { Budget, Target } from './target/constants.js'
export { sumControl, computeCapacity } from './model/computeCapacity.js'
export type * from './model/types.js'
export { renderPage } from './page/renderPage.js'
