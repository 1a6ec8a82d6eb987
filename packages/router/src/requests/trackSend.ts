import type { InstanceName } from '@figmount/base'
import type { AdmittedRequest, ServeContext } from './types.js'

const MS_PER_SECOND = 1000

/** Records a send for later routing choices; the returned function removes it when the attempt has ended. */
export const trackSend = (context: ServeContext, { run }: AdmittedRequest, agent: InstanceName): (() => void) => {
  const report = context.links.viewOf(agent)?.report
  const tokenCount = context.estimates.expectedTokens(run.model, run.maxTokens)
  const workSeconds = tokenCount * (report?.tokenIntervalMs ?? 0) / MS_PER_SECOND / Math.max(1, report?.batchSize ?? 1)
  context.prefixes.add(run.model, run.prefixHint, agent)
  return context.sends.add(agent, workSeconds, context.timers.nowMs())
}
