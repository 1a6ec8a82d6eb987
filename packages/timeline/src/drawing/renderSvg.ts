import { SpanKind } from './types.js'

import type { Mark, Diagram, Span, SpanEnd } from './types.js'

const LABEL_WIDTH_PX = 130
const PLOT_WIDTH_PX = 1050
const HEADER_HEIGHT_PX = 56
const ROW_HEIGHT_PX = 9
const MARK_HEIGHT_PX = 12
const LANE_GAP_PX = 10
const MAX_ROWS = 14
const TICK_COUNT = 10
const MS_PER_SECOND = 1000
const MIN_LABEL_WIDTH_PX = 60
const PX_PER_CHARACTER = 5

const SPAN_COLOURS: Readonly<Record<SpanKind, string>> = {
  [SpanKind.Request]: '#4c78a8',
  [SpanKind.Run]: '#54a24b',
  [SpanKind.Load]: '#eeca3b',
  [SpanKind.Resident]: '#e8e3d3',
  [SpanKind.Drain]: '#b279a2'
}

const END_COLOURS: Readonly<Partial<Record<SpanEnd, string>>> = { refused: '#f58518', failed: '#e45756' }

const colourOf = (span: Span): string => END_COLOURS[span.end] ?? SPAN_COLOURS[span.kind]

const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')

/** A span and its row within the lane. */
interface PlacedSpan {
  readonly span: Span
  readonly row: number
}

/** Places overlapping spans in separate rows; once MAX_ROWS are in use, further spans share the last row. */
const assignRows = (spans: readonly Span[]): readonly PlacedSpan[] => {
  const rowEndsMs: number[] = []
  const placed: PlacedSpan[] = []
  for (const span of [...spans].sort((a, b) => a.fromMs - b.fromMs)) {
    const freeRow = rowEndsMs.findIndex(endMs => endMs <= span.fromMs)
    const row = freeRow === -1 ? Math.min(rowEndsMs.length, MAX_ROWS - 1) : freeRow
    rowEndsMs[row] = Math.max(rowEndsMs[row] ?? 0, span.toMs)
    placed.push({ span, row })
  }
  return placed
}

type Scale = (atMs: number) => number

const createScale = (diagram: Diagram): Scale => {
  const lengthMs = Math.max(1, diagram.toMs - diagram.fromMs)
  return atMs => LABEL_WIDTH_PX + (atMs - diagram.fromMs) / lengthMs * PLOT_WIDTH_PX
}

const drawSpan = ({ span, row }: PlacedSpan, topPx: number, scale: Scale): string => {
  const x = scale(span.fromMs)
  const width = Math.max(1.5, scale(span.toMs) - x)
  const y = topPx + MARK_HEIGHT_PX + row * ROW_HEIGHT_PX
  const title = `${span.kind} ${span.label} ${((span.toMs - span.fromMs) / MS_PER_SECOND).toFixed(3)} s, ${span.end}`
  const box = `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" height="${ROW_HEIGHT_PX - 1}" fill="${colourOf(span)}"><title>${escape(title)}</title></rect>`
  if (width < MIN_LABEL_WIDTH_PX) return box
  const text = span.label.slice(0, Math.floor(width / PX_PER_CHARACTER))
  return `${box}<text x="${(x + 2).toFixed(1)}" y="${y + ROW_HEIGHT_PX - 2.5}" font-size="7">${escape(text)}</text>`
}

const drawMark = (mark: Mark, topPx: number, scale: Scale): string => {
  const x = scale(mark.atMs).toFixed(1)
  const colour = mark.isSevere ? '#e45756' : '#555'
  return `<path d="M${x} ${topPx + 10} l-4 -7 h8 z" fill="${colour}"><title>${escape(mark.label)}</title></path>`
}

interface DrawnLane {
  readonly svg: string
  readonly heightPx: number
}

const drawLane = (diagram: Diagram, lane: string, topPx: number, scale: Scale): DrawnLane => {
  const placed = assignRows(diagram.spans.filter(span => span.lane === lane))
  const rows = Math.max(1, ...placed.map(({ row }) => row + 1))
  const heightPx = MARK_HEIGHT_PX + rows * ROW_HEIGHT_PX
  const label = `<text x="4" y="${topPx + MARK_HEIGHT_PX + 8}" font-size="11" font-weight="bold">${escape(lane)}</text>`
  const divider = `<line x1="0" x2="${LABEL_WIDTH_PX + PLOT_WIDTH_PX}" y1="${topPx - LANE_GAP_PX / 2}" y2="${topPx - LANE_GAP_PX / 2}" stroke="#ddd"/>`
  const spans = placed.map(placedSpan => drawSpan(placedSpan, topPx, scale))
  const marks = diagram.marks.filter(mark => mark.lane === lane).map(mark => drawMark(mark, topPx, scale))
  return { svg: [divider, label, ...spans, ...marks].join('\n'), heightPx }
}

const drawTicks = (diagram: Diagram, heightPx: number, scale: Scale): string => {
  const lengthMs = Math.max(1, diagram.toMs - diagram.fromMs)
  const ticks: string[] = []
  for (let index = 0; index <= TICK_COUNT; index++) {
    const offsetMs = lengthMs * index / TICK_COUNT
    const x = scale(diagram.fromMs + offsetMs).toFixed(1)
    ticks.push(`<line x1="${x}" x2="${x}" y1="${HEADER_HEIGHT_PX - 8}" y2="${heightPx}" stroke="#eee"/>`)
    ticks.push(`<text x="${x}" y="${HEADER_HEIGHT_PX - 12}" font-size="9" text-anchor="middle">${(offsetMs / MS_PER_SECOND).toFixed(2)} s</text>`)
  }
  return ticks.join('\n')
}

const drawLegend = (): string => {
  const entries: ReadonlyArray<readonly [string, string]> = [
    ...Object.entries(SPAN_COLOURS), ['refused', '#f58518'], ['failed', '#e45756']
  ]
  return entries.map(([name, colour], index) => {
    const x = LABEL_WIDTH_PX + index * 110
    return `<rect x="${x}" y="8" width="12" height="12" fill="${colour}"/><text x="${x + 16}" y="18" font-size="11">${name}</text>`
  }).join('\n')
}

/** Renders the diagram as an SVG document: one lane per process, time from left to right. */
export const renderSvg = (diagram: Diagram): string => {
  const scale = createScale(diagram)
  const lanes: string[] = []
  let topPx = HEADER_HEIGHT_PX
  for (const lane of diagram.lanes) {
    const drawn = drawLane(diagram, lane, topPx, scale)
    lanes.push(drawn.svg)
    topPx += drawn.heightPx + LANE_GAP_PX
  }
  const width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + 20
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${topPx}" viewBox="0 0 ${width} ${topPx}" font-family="sans-serif">`,
    '<rect width="100%" height="100%" fill="white"/>',
    drawLegend(),
    drawTicks(diagram, topPx, scale),
    ...lanes,
    '</svg>\n'
  ].join('\n')
}
