/** One line or set of points in a chart. */
export interface ChartSeries {
  readonly name: string
  readonly points: readonly ChartPoint[]
  readonly colour: string
  readonly isDashed?: boolean
}

export interface ChartPoint {
  readonly x: number
  readonly y: number
  /** Text beside the point. */
  readonly label?: string
}

export interface Chart {
  readonly title: string
  readonly xTitle: string
  readonly yTitle: string
  readonly series: readonly ChartSeries[]
  /** Upper ends of the axes; points beyond them are not drawn. */
  readonly maxX: number
  readonly maxY: number
}

const WIDTH = 760
const HEIGHT = 440
const LEFT = 70
const RIGHT = 180
const TOP = 40
const BOTTOM = 55
const TICKS = 5

const escape = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')
const fixed = (value: number): string => value.toFixed(1)

const text = (x: number, y: number, content: string, attributes = ''): string =>
  `<text x="${fixed(x)}" y="${fixed(y)}" ${attributes}>${escape(content)}</text>`

/** Renders a chart as SVG text; deterministic. */
export const renderSvgChart = (chart: Chart): string => {
  const right = WIDTH - RIGHT
  const bottom = HEIGHT - BOTTOM
  const toX = (x: number): number => LEFT + x / chart.maxX * (right - LEFT)
  const toY = (y: number): number => bottom - y / chart.maxY * (bottom - TOP)

  const ticks = Array.from({ length: TICKS + 1 }, (_, index) => index / TICKS).flatMap(share => {
    const x = toX(share * chart.maxX)
    const y = toY(share * chart.maxY)
    return [
      `<line x1="${fixed(x)}" y1="${TOP}" x2="${fixed(x)}" y2="${bottom}" stroke="#ddd"/>`,
      `<line x1="${LEFT}" y1="${fixed(y)}" x2="${right}" y2="${fixed(y)}" stroke="#ddd"/>`,
      text(x, bottom + 18, String(Math.round(share * chart.maxX)), 'text-anchor="middle"'),
      text(LEFT - 8, y + 4, String(Math.round(share * chart.maxY * 10) / 10), 'text-anchor="end"')
    ]
  })

  const drawSeries = (series: ChartSeries, index: number): readonly string[] => {
    const visiblePoints = series.points.filter(point => point.x <= chart.maxX && point.y <= chart.maxY)
    const path = visiblePoints.map(point => `${fixed(toX(point.x))},${fixed(toY(point.y))}`).join(' ')
    const dash = series.isDashed ? ' stroke-dasharray="6 4"' : ''
    const legendY = TOP + 14 + index * 20
    return [
      `<polyline points="${path}" fill="none" stroke="${series.colour}" stroke-width="2"${dash}/>`,
      ...visiblePoints.map(point => `<circle cx="${fixed(toX(point.x))}" cy="${fixed(toY(point.y))}" r="3" fill="${series.colour}"/>`),
      ...visiblePoints.flatMap(point => point.label ? [text(toX(point.x) + 5, toY(point.y) - 6, point.label, `fill="${series.colour}" font-size="10"`)] : []),
      `<line x1="${right + 12}" y1="${legendY - 4}" x2="${right + 34}" y2="${legendY - 4}" stroke="${series.colour}" stroke-width="2"${dash}/>`,
      text(right + 40, legendY, series.name)
    ]
  }

  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    text(LEFT, 24, chart.title, 'font-size="15" font-weight="bold"'),
    ...ticks,
    ...chart.series.flatMap(drawSeries),
    text((LEFT + right) / 2, HEIGHT - 14, chart.xTitle, 'text-anchor="middle"'),
    text(18, (TOP + bottom) / 2, chart.yTitle, `text-anchor="middle" transform="rotate(-90 18 ${(TOP + bottom) / 2})"`),
    '</svg>',
    ''
  ].join('\n')
}
