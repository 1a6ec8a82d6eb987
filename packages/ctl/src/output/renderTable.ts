const GAP = '  '

/** Renders rows under headings as aligned columns; numbers are right-aligned. */
export const renderTable = (headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string => {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map(row => String(row[column] ?? '').length)))
  const renderCell = (cell: string | number, column: number): string => {
    const width = widths[column] ?? 0
    return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width)
  }
  const renderRow = (row: ReadonlyArray<string | number>): string => row.map(renderCell).join(GAP).trimEnd()
  return [headings, ...rows].map(renderRow).join('\n')
}
