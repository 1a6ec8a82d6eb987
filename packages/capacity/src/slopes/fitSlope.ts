import { Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { Measurement, Slope } from './types.js'

/** With fewer sizes it cannot be seen whether a line fits. */
export const MIN_POINT_COUNT = 4

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

/** Fits a line by least squares. Fails for measurements at fewer than MIN_POINT_COUNT sizes. */
export const fitSlope = (measurement: Measurement): Either<Fault, Slope> => {
  const { name, unit, per, method, points } = measurement
  const sizes = points.map(point => point.size)
  if (new Set(sizes).size < MIN_POINT_COUNT) {
    return Left(makeFault(FaultKind.Invalid, 'capacity.fit', name, `measured at ${new Set(sizes).size} sizes, at least ${MIN_POINT_COUNT} are needed`))
  }
  const meanSize = meanOf(sizes)
  const meanValue = meanOf(points.map(point => point.value))
  const sxx = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const sxy = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const syy = points.reduce((sum, { value }) => sum + (value - meanValue) ** 2, 0)
  const slope = sxy / sxx
  const intercept = meanValue - slope * meanSize
  const residual = points.reduce((sum, { size, value }) => sum + (value - intercept - slope * size) ** 2, 0)
  const slopeError = Math.sqrt(residual / Math.max(1, points.length - 2) / sxx)
  const fit = syy === 0 ? 1 : 1 - residual / syy
  return Right({ name, unit, per, method, pointCount: points.length, largestSize: Math.max(...sizes), intercept, slope, slopeError, fit })
}
