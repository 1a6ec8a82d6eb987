import type { BenchRow, ComparedRow } from './types.js'

const computeGrowth = (now: number | null, earlier: number | null): number | null =>
  now === null || earlier === null || earlier === 0 ? null : now / earlier

/** Compares each row with the earlier row of the same name; only rows with `maxGrowth` can fail. */
export const compareRows = (rows: readonly BenchRow[], earlierRows: readonly BenchRow[]): readonly ComparedRow[] => {
  const earlierValues = new Map(earlierRows.map(row => [row.name, row.value]))
  return rows.map(row => {
    const earlier = earlierValues.get(row.name) ?? null
    const growth = computeGrowth(row.value, earlier)
    const isBeyondBound = row.maxGrowth !== undefined && growth !== null && growth > row.maxGrowth
    return { row, earlier, growth, isBeyondBound }
  })
}

/** Returns the names of rows with `maxGrowth` that an earlier run measured and this one did not: their bounds go unchecked. */
export const findMissingBounds = (rows: readonly BenchRow[], earlierRows: readonly BenchRow[]): readonly string[] => {
  const names = new Set(rows.filter(row => row.value !== null && row.maxGrowth !== undefined).map(row => row.name))
  return earlierRows.filter(row => row.maxGrowth !== undefined && !names.has(row.name)).map(row => row.name)
}
