import { expect } from 'chai'
import * as fc from 'fast-check'

import { createRouteTable, hostNameOf } from './createRouteTable.js'

import type { Route } from './types.js'

const SEED = 20261203

const makeRoute = (name: string, host: string, pathPrefix: string): Route => ({ name, host, pathPrefix } as unknown as Route)

/** Goes through all routes; the table must agree with it. */
const findByScan = (routes: readonly Route[], hostHeader: string, url: string): Route | undefined => {
  const [path = ''] = url.split('?')
  let best: Route | undefined
  for (const route of routes) {
    if (route.host !== hostNameOf(hostHeader) || !path.startsWith(route.pathPrefix)) continue
    if (!best || best.pathPrefix.length < route.pathPrefix.length) best = route
  }
  return best
}

describe('createRouteTable', () => {
  it('finds the route of the host with the longest prefix of the path', () => {
    const segment = fc.constantFrom('a', 'b', 'ab')
    const prefix = fc.array(segment, { maxLength: 3 }).map(parts => ['', ...parts, ''].join('/'))
    const host = fc.constantFrom('x.example', 'y.example')
    const routes = fc.array(fc.tuple(host, prefix), { maxLength: 12 }).map(pairs => pairs.map(([name, path], index) => makeRoute(`r${index}`, name, path)))
    const url = fc.tuple(fc.array(segment, { maxLength: 4 }), fc.constantFrom('', '/', '?q=/a/b/', '/?q')).map(([parts, end]) => `/${parts.join('/')}${end}`)
    const hostHeader = fc.constantFrom('x.example', 'X.Example:80', 'y.example', 'z.example')
    fc.assert(fc.property(routes, hostHeader, url, (given, header, path) => {
      expect(createRouteTable(given).find(header, path)).to.equal(findByScan(given, header, path))
    }), { seed: SEED, numRuns: 2_000 })
  })

  it('costs a request about the same with 20,000 routes as with 20', () => {
    // Guards against a large configuration that takes the routers' processors.
    const timeOf = (count: number): number => {
      const table = createRouteTable(Array.from({ length: count }, (_, index) => makeRoute(`r${index}`, 'x.example', `/p${index}/`)))
      const fromMs = performance.now()
      for (let call = 0; call < 20_000; call++) table.find('x.example', `/p${call % count}/y`)
      return performance.now() - fromMs
    }
    timeOf(20)
    expect(timeOf(20_000)).to.be.below(20 * timeOf(20) + 20)
  })
})
