import { renderTable } from '@figmount/ctl'

import type { BenchRow, ComparedRow } from './types.js'

const DIGITS = 3

const formatValue = (value: number | null): string | number => value === null ? 'none' : Number(value.toFixed(DIGITS))

/** Renders the rows of one run as a table. */
export const renderRows = (rows: readonly BenchRow[]): string =>
  renderTable(['figure', 'value', 'unit', 'method'], rows.map(row => [row.name, formatValue(row.value), row.unit, row.method]))

/** Renders the rows of one run beside those of an earlier run. */
export const renderCompared = (compared: readonly ComparedRow[]): string =>
  renderTable(['figure', 'value', 'earlier', 'unit', 'growth', 'bound', 'verdict'], compared.map(({ row, earlier, growth, isBeyondBound }) => [
    row.name, formatValue(row.value), formatValue(earlier), row.unit, formatValue(growth), row.maxGrowth ?? '', isBeyondBound ? 'BEYOND BOUND' : ''
  ]))
