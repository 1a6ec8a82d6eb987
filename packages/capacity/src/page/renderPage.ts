import { Budget, Target } from '../target/constants.js'
import { totalOf, workOut } from '../model/workOut.js'
import { renderFailures } from './renderFailures.js'
import { CONCLUSIONS, INTRODUCTION } from './texts.js'

import type { CapacityRow, RoleCapacity } from '../model/types.js'
import type { Slope } from '../slopes/types.js'

const US_PER_SECOND = 1_000_000
const PERCENT = 100

/** A figure with three significant digits, without an exponent. */
export const show = (value: number): string => {
  if (value === 0) return ''
  const rounded = Number(value.toPrecision(3))
  return rounded.toLocaleString('en', { maximumFractionDigits: 5 })
}

const table = (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string => [
  `| ${headings.join(' | ')} |`,
  `|${headings.map(() => '---').join('|')}|`,
  ...rows.map(row => `| ${row.join(' | ')} |`)
].join('\n')

const cellsOf = (row: CapacityRow): readonly string[] => [
  row.what, row.mechanism, row.from, show(row.processorUsPerSecond / US_PER_SECOND * PERCENT), show(row.bytesPerSecond), show(row.memoryMb)
]

const verdictOf = (used: number, budget: number): string => used <= budget ? 'fits' : `does not fit, ${(used / budget).toFixed(1)} times the budget`

const totalRows = (role: RoleCapacity): ReadonlyArray<readonly string[]> => {
  const total = totalOf(role)
  return [
    ['processor, % of a core', show(total.coreShare * PERCENT), show(Budget.coreShare * PERCENT), verdictOf(total.coreShare, Budget.coreShare)],
    ['bytes/s', show(total.bytesPerSecond), show(Budget.bytesPerSecond), verdictOf(total.bytesPerSecond, Budget.bytesPerSecond)],
    ['memory, MB', show(total.memoryMb), show(Budget.memoryMb), verdictOf(total.memoryMb, Budget.memoryMb)]
  ]
}

const renderRole = (role: RoleCapacity): string => {
  const headings = ['control', 'mechanism', 'from', '% of a core', 'bytes/s', 'MB']
  const parts = [
    `## ${role.role}`,
    `State: ${role.state}.\n\nMessages: ${role.messages}.`,
    table(headings, role.control.map(cellsOf))
  ]
  if (role.data.length > 0) {
    parts.push(table(['control in all', 'needed', 'budget', 'verdict'], totalRows(role)))
    parts.push('Work for requests, which is not control:')
    parts.push(table(['work', 'mechanism', 'from', '% of a core', 'bytes/s', 'MB'], role.data.map(cellsOf)))
  }
  return parts.join('\n\n')
}

const renderSlopes = (slopes: readonly Slope[]): string => {
  const rows = slopes.map(slope => [
    slope.name, slope.unit, slope.per, show(slope.intercept) || '0', `${show(slope.slope) || '0'} ± ${show(slope.slopeError) || '0'}`,
    slope.fit.toFixed(2), `${slope.pointCount}, up to ${show(slope.largestSize)}`, slope.method
  ])
  return `## Slopes\n\n${table(['name', 'unit', 'against', 'intercept', 'slope ± error', 'fit', 'sizes', 'method'], rows)}`
}

const renderInForce = (slopes: readonly Slope[]): string => {
  const slope = slopes.find(one => one.name === 'config.inForce')
  if (!slope) return ''
  const worst = slope.intercept + slope.slope * slope.largestSize
  return `## Configuration in force\n\nMeasured up to ${slope.largestSize} processes: ${show(worst)} ms at that size by the fitted line, ` +
    `${show(slope.slope)} ± ${show(slope.slopeError)} ms for each further process, against ${show(Target.inForceMs)} ms. Every process reads the log itself by ` +
    'long poll, so the time is one append and one answer; the line is not carried on to 7,550 processes, since what then counts is how fast the platform\'s log ' +
    'answers that many long polls, which a stand-in cannot show.'
}

/** The whole page docs/CAPACITY.md from measured slopes and what is known of the users' platform. */
export const renderPage = (slopes: readonly Slope[], platform: string): string => [
  INTRODUCTION,
  platform.trim(),
  ...workOut(slopes).map(renderRole),
  renderInForce(slopes),
  renderFailures(slopes),
  CONCLUSIONS,
  renderSlopes(slopes)
].join('\n\n') + '\n'
