import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** A server has answered the request completely, so servers do not die of it. Other routers are told if they may believe that they do. */
export const noteAnswer = ({ breakWatch, crashes, crashNotifier }: GatewayContext, { identity }: RoutedRequest): void => {
  breakWatch.forget(identity)
  const answer = { identity, ageMs: 0 }
  if (crashes.noteAnswer(answer)) crashNotifier.notifyAnswered(answer)
}
