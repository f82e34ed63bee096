import * as zod from 'zod';

/**
 * Mechanisms of the router's decisions that can be switched off one by one, to measure what each is worth on a
 * deployment. All are on unless the settings say otherwise.
 */

const isOn = zod.boolean().default(true);

/** Checks the section of the settings; unknown names are findings. */
export const mechanismsSchema = zod.strictObject({
  /** Some layers are held twice in each data centre. */
  secondHolders: isOn,
  /** Gaps of a data centre are closed by growing and shifting ranges. */
  completedRanges: isOn,
  /** Layers of slow upstreams are loaded elsewhere. */
  replacedWhenSlow: isOn,
  /** Paths avoid upstreams that report to be slow. */
  slownessInPaths: isOn,
  /** Paths avoid upstreams with prompts still to be read. */
  readingBacklog: isOn,
  /** The part of the link between data centres that paths take is bounded. */
  boundedCrossings: isOn,
  /** No path goes through an upstream without room for the request. */
  boundedRooms: isOn,
  /** Running streams move off lost upstreams and keep what the others have read. */
  movedStreams: isOn,
  /** Silent streams lead to trial calls before anything else shows a loss. */
  silenceWatch: isOn,
  /** Load that peers have put on upstreams counts. */
  peerLoads: isOn,
});

/** Which mechanisms are on. */
export type Mechanisms = Readonly<zod.infer<typeof mechanismsSchema>>;

/** The usual state. */
export const allMechanisms: Mechanisms = mechanismsSchema.parse({});

/** Names of those that are off. */
export function switchedOff(mechanisms: Mechanisms): readonly string[] {
  return Object.entries(mechanisms)
    .filter(([, on]) => !on)
    .map(([name]) => name);
}
