import { LimitUnit } from '@figmount/fleet'

import type { CallerRequest, Deployment, Organisation, OrganisationLimit, Route } from '@figmount/fleet'

/** Whether requests on the route need a key. */
export const isKeyRequired = ({ organisations }: Deployment, route: Route): boolean => organisations !== undefined && !route.isPublic

/** The organisation that holds the caller's key; undefined if none does or no key is required. */
export const organisationOf = (deployment: Deployment, route: Route, { keyDigest }: CallerRequest): Organisation | undefined =>
  isKeyRequired(deployment, route) ? deployment.organisations?.byKeyDigest.get(keyDigest) : undefined

/** Units that a request takes from its organisation's limit. */
export const unitsOf = ({ unit, plainUnits }: OrganisationLimit, { promptTokens, outputTokens }: CallerRequest): number => {
  if (unit === LimitUnit.Requests || outputTokens === undefined) return plainUnits
  return promptTokens + outputTokens
}
