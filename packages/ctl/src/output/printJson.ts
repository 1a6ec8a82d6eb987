const INDENT = 2

const plain = (key: string, value: unknown): unknown => {
  if (typeof value === 'bigint') return Number(value)
  if (key === '$typeName' || key === '$unknown') return undefined
  return value
}

/** JSON for programs: offsets and times as numbers, without the schema library's own fields. */
export const printJson = (value: unknown): string => JSON.stringify(value, plain, INDENT)
