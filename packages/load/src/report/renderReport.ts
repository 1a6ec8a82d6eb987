import type { Report, RunFigures, TrafficFigures } from './types.js'

const PLOT_WIDTH_PX = 800
const PLOT_HEIGHT_PX = 160
const COLOURS = { answers: '#54a24b', refusals: '#f58518' } as const

const polyline = (values: readonly number[], maxValue: number, colour: string): string => {
  const points = values.map((value, index) => {
    const x = index / Math.max(1, values.length - 1) * PLOT_WIDTH_PX
    const y = PLOT_HEIGHT_PX - value / maxValue * (PLOT_HEIGHT_PX - 10)
    return `${x.toFixed(1)},${y.toFixed(1)}`
  })
  return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points.join(' ')}"/>`
}

const drawRun = (run: RunFigures, index: number): string => {
  const maxValue = Math.max(1, ...run.answersBySecond, ...run.refusalsBySecond)
  return [
    `<h2>Run ${index + 1}${run.partial ? ' (partial: aborted)' : ''}</h2>`,
    `<p>Ends by second, up to ${maxValue} a second: answers green, refusals orange.</p>`,
    `<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" style="background:#fafafa;border:1px solid #ddd">`,
    polyline(run.answersBySecond, maxValue, COLOURS.answers),
    polyline(run.refusalsBySecond, maxValue, COLOURS.refusals),
    '</svg>'
  ].join('\n')
}

const HEADINGS = ['traffic', 'planned', 'answered', 'refused', 'unserved', 'broken', 'resends', 'goodput/s', 'tokens/s', 'first p50', 'p95', 'p99', 'total p50', 'p99', 'gap p95'] as const

/** One row of figures in the order of the headings. */
const toCells = (figures: TrafficFigures): ReadonlyArray<string | number> => [
  figures.name, figures.plannedCount, figures.answeredCount, figures.refusedCount, figures.unservedCount, figures.brokenCount,
  figures.resendCount, figures.goodputPerSecond.toFixed(1), figures.tokensPerSecond.toFixed(0),
  figures.firstToken.p50Ms, figures.firstToken.p95Ms, figures.firstToken.p99Ms,
  figures.total.p50Ms, figures.total.p99Ms, figures.longestGap.p95Ms
]

/** Headings and rows of a run, for a text table. Times are in ms. */
export const makeReportTable = (run: RunFigures): { readonly headings: readonly string[], readonly rows: ReadonlyArray<ReadonlyArray<string | number>> } =>
  ({ headings: HEADINGS, rows: run.traffic.map(toCells) })

const escape = (text: string | number): string => String(text).replaceAll('&', '&amp;').replaceAll('<', '&lt;')

const htmlTable = (run: RunFigures): string => {
  const { headings, rows } = makeReportTable(run)
  const head = headings.map(heading => `<th>${heading}</th>`).join('')
  const body = rows.map(row => `<tr>${row.map(cell => `<td>${escape(cell)}</td>`).join('')}</tr>`).join('\n')
  const reasons = run.traffic.map(figures => `${escape(figures.name)}: ${escape(JSON.stringify(figures.refusalsByReason))}`).join('<br>')
  return `<table><tr>${head}</tr>\n${body}</table><p>Refusals by reason<br>${reasons}</p>`
}

/** Renders the report as one HTML page with plots. */
export const renderReport = (report: Report): string => [
  '<!doctype html><meta charset="utf-8">',
  `<title>${escape(report.experiment)}</title>`,
  '<style>body{font-family:sans-serif;margin:2em}td,th{padding:2px 8px;text-align:right}td:first-child{text-align:left}</style>',
  `<h1>${escape(report.experiment)}</h1><p>Seeds ${report.seeds.join(', ')}. Times in ms, counted from the planned send.</p>`,
  ...report.runs.flatMap((run, index) => [drawRun(run, index), htmlTable(run)])
].join('\n')
