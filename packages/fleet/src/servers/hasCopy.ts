/** Where the weights lie that a server can load without the weight store. */
export interface Copies {
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
}

/** The server has a copy of the model's weights at hand. */
export const hasCopy = ({ inMemory, onDisk }: Copies, modelName: string): boolean =>
  inMemory.includes(modelName) || onDisk.includes(modelName)
