import type { BenchRow, ComparedRow } from './types.js'

const growthOf = (now: number | null, earlier: number | null): number | null =>
  now === null || earlier === null || earlier === 0 ? null : now / earlier

/** Puts each row beside the earlier row of its name; only rows with a bound are judged. */
export const compareRows = (rows: readonly BenchRow[], earlierRows: readonly BenchRow[]): readonly ComparedRow[] => {
  const earlierValues = new Map(earlierRows.map(row => [row.name, row.value]))
  return rows.map(row => {
    const earlier = earlierValues.get(row.name) ?? null
    const growth = growthOf(row.value, earlier)
    const isBeyondBound = row.maxGrowth !== undefined && growth !== null && growth > row.maxGrowth
    return { row, earlier, growth, isBeyondBound }
  })
}

/** Names of judged rows that an earlier run has and this one lacks: a bound that is no longer looked at. */
export const missingBounds = (rows: readonly BenchRow[], earlierRows: readonly BenchRow[]): readonly string[] => {
  const names = new Set(rows.filter(row => row.value !== null && row.maxGrowth !== undefined).map(row => row.name))
  return earlierRows.filter(row => row.maxGrowth !== undefined && !names.has(row.name)).map(row => row.name)
}
