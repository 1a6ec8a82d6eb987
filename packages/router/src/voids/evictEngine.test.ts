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

describe('engine of an unlisted instance', () => {
  // A rack is missing from the platform's list, but its engines still answer and have their models
  // loaded. A void would let another engine load one replica too many.
  it('prevents a void while it may still hold a replica', async () => {
    expect(await evictEngine(engineOf({ answers: true, enforcesFence: true, unloads: false }), eviction)).to.equal('reachable')
    const unfenced = engineOf({ answers: true, enforcesFence: false, unloads: true })
    expect(await evictEngine(unfenced, eviction)).to.equal('reachable')
    expect(unfenced.fences).to.deep.equal([])
  })

  it('allows a void if it is unreachable or has unloaded under the newer fence', async () => {
    expect(await evictEngine(engineOf({ answers: false, enforcesFence: true, unloads: true }), eviction)).to.equal('unreachable')
    const fenced = engineOf({ answers: true, enforcesFence: true, unloads: true })
    expect(await evictEngine(fenced, eviction)).to.equal('fenced')
    expect(fenced.fences).to.deep.equal([9])
  })
})
