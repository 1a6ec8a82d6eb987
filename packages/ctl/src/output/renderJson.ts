const INDENT = 2

const replaceValue = (key: string, value: unknown): unknown => {
  if (typeof value === 'bigint') return Number(value)
  if (key === '$typeName' || key === '$unknown') return undefined
  return value
}

/** Renders a value as JSON, with bigints as numbers and without the fields that the protobuf library adds. */
export const renderJson = (value: unknown): string => JSON.stringify(value, replaceValue, INDENT)
