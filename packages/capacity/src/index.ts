/** The capacity page: slopes from measurements, and what each role needs at the size that the system is designed for. */
export { fitSlope } from './slopes/fitSlope.js'
export type * from './slopes/types.js'
export { Budget, Target } from './target/constants.js'
export { totalOf, workOut } from './model/workOut.js'
export type * from './model/types.js'
export { renderPage } from './page/renderPage.js'
