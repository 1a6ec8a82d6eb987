import { expect } from 'chai'
import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import { evictEngine } from './evictEngine.js'

import type { Fault, InstanceName, LogOffset, ModelId } from '@figmount/base'
import type { AbsentEngine, Eviction } from './types.js'

const MODEL = 's/m' as ModelId
const eviction: Eviction = { instance: 'a1' as InstanceName, models: [MODEL], fence: 9 as LogOffset }

interface Plan {
  readonly answers: boolean
  readonly enforcesFence: boolean
  readonly unloads: boolean
}

const engineOf = ({ answers, enforcesFence, unloads }: Plan): AbsentEngine & { readonly fences: number[] } => {
  const models = new Set<string>([MODEL])
  const fences: number[] = []
  const fault: Fault = makeFault(FaultKind.Unavailable, 'voids.inventory', 'e', 'refused')
  return {
    fences,
    inventory: () => EitherAsync.liftEither(answers ? Right({ models: [...models], enforcesFence }) : Left(fault)),
    unload: (model, fence) => {
      fences.push(fence)
      if (unloads) models.delete(model)
      return EitherAsync.liftEither(Right(undefined))
    }
  }
}

describe('engine of an instance that is off the list', () => {
  // A rack loses its network to the platform's list, but its engines still answer and have their
  // models loaded. A void now would let another engine load a replica too many.
  it('forbids a void while it may still hold a replica', async () => {
    expect(await evictEngine(engineOf({ answers: true, enforcesFence: true, unloads: false }), eviction)).to.equal('reachable')
    const careless = engineOf({ answers: true, enforcesFence: false, unloads: true })
    expect(await evictEngine(careless, eviction)).to.equal('reachable')
    expect(careless.fences).to.deep.equal([])
  })

  it('allows a void when it is gone, or has unloaded under the newer fence', async () => {
    expect(await evictEngine(engineOf({ answers: false, enforcesFence: true, unloads: true }), eviction)).to.equal('unreachable')
    const obedient = engineOf({ answers: true, enforcesFence: true, unloads: true })
    expect(await evictEngine(obedient, eviction)).to.equal('fenced')
    expect(obedient.fences).to.deep.equal([9])
  })
})
