import { renderTable } from '@figmount/ctl'

import type { BenchRow, ComparedRow } from './types.js'

const DIGITS = 3

const show = (value: number | null): string | number => value === null ? 'none' : Number(value.toFixed(DIGITS))

/** The table of one run. */
export const renderRows = (rows: readonly BenchRow[]): string =>
  renderTable(['figure', 'value', 'unit', 'method'], rows.map(row => [row.name, show(row.value), row.unit, row.method]))

/** The table of one run beside an earlier one. */
export const renderCompared = (compared: readonly ComparedRow[]): string =>
  renderTable(['figure', 'value', 'earlier', 'unit', 'growth', 'bound', 'verdict'], compared.map(({ row, earlier, growth, isBeyondBound }) => [
    row.name, show(row.value), show(earlier), row.unit, show(growth), row.maxGrowth ?? '', isBeyondBound ? 'BEYOND BOUND' : ''
  ]))
