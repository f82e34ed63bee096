import * as zod from 'zod';

/**
 * Feature switches of the router's decisions. Each can be disabled to measure its benefit on a deployment; all are
 * enabled by default.
 */

const isOn = zod.boolean().default(true);

/** Schema of the `mechanisms` section of the settings; unknown names are reported as findings. */
export const mechanismsSchema = zod.strictObject({
  /** Some layers have a second holder in each data centre. */
  secondHolders: isOn,
  /** Gaps in the layers of a data centre are closed by extending and shifting ranges. */
  completedRanges: isOn,
  /** Layers of slow upstreams are loaded elsewhere. */
  replacedWhenSlow: isOn,
  /** Paths avoid upstreams that report slowness. */
  slownessInPaths: isOn,
  /** Paths avoid upstreams with a prefill backlog. */
  readingBacklog: isOn,
  /** Paths may use only a limited share of the link between data centres. */
  boundedCrossings: isOn,
  /** Paths exclude upstreams without KV-cache capacity for the request. */
  boundedRooms: isOn,
  /** Running streams are moved off lost upstreams and keep the KV cache of the others. */
  movedStreams: isOn,
  /** Upstreams of silent streams are probed before anything else shows a loss. */
  silenceWatch: isOn,
  /** Upstreams that this instance has lost its links to are reached through peers. */
  relayedLinks: isOn,
  /** Requests under which upstreams keep crashing are blocked at all instances. */
  blockedPrompts: isOn,
  /** The load on upstreams includes the requests of peers. */
  peerLoads: isOn,
});

/** The mechanisms by name, and whether each is enabled. */
export type Mechanisms = Readonly<zod.infer<typeof mechanismsSchema>>;

/** The default, with all mechanisms enabled. */
export const defaultMechanisms: Mechanisms = mechanismsSchema.parse({});

/** Names of the disabled mechanisms. */
export function disabledMechanisms(mechanisms: Mechanisms): readonly string[] {
  return Object.entries(mechanisms)
    .filter(([, on]) => !on)
    .map(([name]) => name);
}
