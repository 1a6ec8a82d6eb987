import type { EventKind } from '@figmount/base'

const RANGE_SIZE = 1000

const RANGE_TITLES: Readonly<Record<number, string>> = {
  1: 'Every process',
  2: 'Router',
  3: 'Agent',
  4: 'Links between processes',
  5: 'Records of the log',
  6: 'Stand-ins',
  7: 'Load tool',
  8: "Caller's library"
}

const INTRODUCTION = `# Events

Every process reports numbered events: through \`debug\` (\`DEBUG=figmount:*\`), and with \`--event-lines\` as one JSON
object a line on standard output. \`figmount-timeline\` puts the lines of all processes on one time line. Numbers are never
reused. This page is generated from the catalogues in the code by \`npm run docs:events\`; CI fails when it is not current.

Each line carries \`number\`, \`name\`, \`instance\`, \`role\`, \`sequence\` (counts up within a process; a gap is a lost line),
\`clock\` (a Lamport clock) and \`atUnixMs\`, and whatever of the fields in \`packages/base/src/events/types.ts\` applies.
`

/** Renders docs/EVENTS.md. */
export const renderEventsPage = (kinds: readonly EventKind[]): string => {
  const lines: string[] = [INTRODUCTION.trimEnd()]
  let range = -1
  for (const { number, name, text } of kinds) {
    const current = Math.floor(number / RANGE_SIZE)
    if (current !== range) lines.push('', `## ${RANGE_TITLES[current] ?? `Range ${current * RANGE_SIZE}`}`, '', '| number | name | what happened |', '|---|---|---|')
    range = current
    lines.push(`| ${number} | ${name} | ${text} |`)
  }
  return `${lines.join('\n')}\n`
}
