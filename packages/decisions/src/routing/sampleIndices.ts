/**
 * Draws up to `count` distinct indices below `length` in random order with Floyd's algorithm, in time that depends only on
 * `count`. The order matters when the first of equal candidates wins: in a fixed order the last index would never win.
 */
export const sampleIndices = (length: number, count: number, random: () => number): readonly number[] => {
  const drawn: number[] = []
  for (let limit = Math.max(0, length - count); limit < length; limit++) {
    const index = Math.floor(random() * (limit + 1))
    // Floyd's insertion: on a collision the new highest index is inserted after the one that it collided with.
    const collision = drawn.indexOf(index)
    if (collision < 0) drawn.unshift(index)
    else drawn.splice(collision + 1, 0, limit)
  }
  return drawn
}
