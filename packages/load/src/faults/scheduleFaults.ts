import { EitherAsync } from 'purify-ts'
import { FaultKind, faultFrom, makeFault } from '@figmount/base'

import type { Fault, TimerService, Unsubscribe } from '@figmount/base'
import type { FaultPlan } from '../experiment/types.js'

/** Posts one planned fault to the control API of a stand-in. */
const injectFault = (plan: FaultPlan): EitherAsync<Fault, void> =>
  EitherAsync<Fault, Response>(async ({ throwE }) => {
    try {
      return await fetch(`http://${plan.address}${plan.path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: plan.bodyJson
      })
    } catch (error) {
      return throwE(faultFrom(`load.fault ${plan.name}`, plan.address)(error))
    }
  }).chain(response => EitherAsync<Fault, void>(async ({ throwE }) => {
    if (!response.ok) throwE(makeFault(FaultKind.Invalid, `load.fault ${plan.name}`, plan.address, `status ${response.status}`))
  }))

/** Schedules all planned faults. A fault that could not be injected is reported, since the run is then invalid. */
export const scheduleFaults = (
  timers: TimerService,
  plans: readonly FaultPlan[],
  onFault: (fault: Fault) => void
): Unsubscribe => {
  const pending = plans.map(plan => timers.after(plan.atMs, () => {
    injectFault(plan).run()
      .then(result => { result.ifLeft(onFault) })
      .catch((error: unknown) => onFault(faultFrom(`load.fault ${plan.name}`, plan.address)(error)))
  }))
  return () => {
    for (const cancel of pending) cancel()
  }
}
