import { Budget, Target } from '../target/constants.js'
import { sumControl, computeCapacity } from '../model/computeCapacity.js'
import { renderFailures } from './renderFailures.js'
import { CONCLUSIONS, INTRODUCTION } from './texts.js'

import type { CapacityRow, RoleCapacity } from '../model/types.js'
import type { Slope } from '../slopes/types.js'

const US_PER_SECOND = 1_000_000
const PERCENT = 100

/** Formats a figure with three significant digits and without an exponent; 0 becomes empty. */
export const formatFigure = (value: number): string => {
  if (value === 0) return ''
  const rounded = Number(value.toPrecision(3))
  return rounded.toLocaleString('en', { maximumFractionDigits: 5 })
}

const table = (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string => [
  `| ${headings.join(' | ')} |`,
  `|${headings.map(() => '---').join('|')}|`,
  ...rows.map(row => `| ${row.join(' | ')} |`)
].join('\n')

const toCells = (row: CapacityRow): readonly string[] => [
  row.what, row.mechanism, row.from, formatFigure(row.processorUsPerSecond / US_PER_SECOND * PERCENT), formatFigure(row.bytesPerSecond), formatFigure(row.memoryMb)
]

const compareWithBudget = (used: number, budget: number): string => used <= budget ? 'fits' : `does not fit, ${(used / budget).toFixed(1)} times the budget`

const totalRows = (role: RoleCapacity): ReadonlyArray<readonly string[]> => {
  const total = sumControl(role)
  return [
    ['processor, % of a core', formatFigure(total.coreShare * PERCENT), formatFigure(Budget.coreShare * PERCENT), compareWithBudget(total.coreShare, Budget.coreShare)],
    ['bytes/s', formatFigure(total.bytesPerSecond), formatFigure(Budget.bytesPerSecond), compareWithBudget(total.bytesPerSecond, Budget.bytesPerSecond)],
    ['memory, MB', formatFigure(total.memoryMb), formatFigure(Budget.memoryMb), compareWithBudget(total.memoryMb, Budget.memoryMb)]
  ]
}

const renderRole = (role: RoleCapacity): string => {
  const headings = ['control', 'mechanism', 'from', '% of a core', 'bytes/s', 'MB']
  const parts = [
    `## ${role.role}`,
    `State: ${role.state}.\n\nMessages: ${role.messages}.`,
    table(headings, role.control.map(toCells))
  ]
  if (role.data.length > 0) {
    parts.push(table(['control in all', 'needed', 'budget', 'verdict'], totalRows(role)))
    parts.push('Work for requests, which is not control:')
    parts.push(table(['work', 'mechanism', 'from', '% of a core', 'bytes/s', 'MB'], role.data.map(toCells)))
  }
  return parts.join('\n\n')
}

const renderSlopes = (slopes: readonly Slope[]): string => {
  const rows = slopes.map(slope => [
    slope.name, slope.unit, slope.per, formatFigure(slope.intercept) || '0', `${formatFigure(slope.slope) || '0'} ± ${formatFigure(slope.slopeError) || '0'}`,
    slope.fit.toFixed(2), `${slope.pointCount}, up to ${formatFigure(slope.largestSize)}`, slope.method
  ])
  return `## Slopes\n\n${table(['name', 'unit', 'against', 'intercept', 'slope ± error', 'fit', 'sizes', 'method'], rows)}`
}

const renderInForce = (slopes: readonly Slope[]): string => {
  const slope = slopes.find(candidate => candidate.name === 'config.inForce')
  if (!slope) return ''
  const worstMs = slope.intercept + slope.slope * slope.largestSize
  return `## Configuration in force\n\nMeasured up to ${slope.largestSize} processes: ${formatFigure(worstMs)} ms at that size by the fitted line, ` +
    `${formatFigure(slope.slope)} ± ${formatFigure(slope.slopeError)} ms for each further process, against ${formatFigure(Target.inForceMs)} ms. Every process reads the log itself by ` +
    'long poll, so the time is one append and one answer; the line is not carried on to 7,550 processes, since what then counts is how fast the platform\'s log ' +
    'answers that many long polls, which a stand-in cannot show.'
}

/** Renders docs/CAPACITY.md from measured slopes and the text about the users' platform. */
export const renderPage = (slopes: readonly Slope[], platform: string): string => [
  INTRODUCTION,
  platform.trim(),
  ...computeCapacity(slopes).map(renderRole),
  renderInForce(slopes),
  renderFailures(slopes),
  CONCLUSIONS,
  renderSlopes(slopes)
].join('\n\n') + '\n'
