import * as zod from 'zod';

import {SlownessReading} from '../../fleet/common/slowness.js';
import {InstanceNews} from './instance.js';

/** What instances tell each other in one exchange. */

/** The load of the sender on one upstream. */
export interface UpstreamLoadNews {
  readonly upstream: string;
  readonly requests: number;
  readonly tokens: number;
}

/** One side of an exchange. */
export interface PeerNews {
  readonly from: string;
  readonly instances: readonly InstanceNews[];
  readonly loads: readonly UpstreamLoadNews[];
  readonly slow: readonly SlownessReading[];
  /** Whether the sender holds the lease for orders about layers. */
  readonly holdsLease: boolean;
  /** Upstreams that the sender holds to be lost. */
  readonly lost: readonly string[];
}

/** Entries of each list that are read; a longer one is cut off by its sender. */
export const PEER_LIST_LIMIT = 4_096;

const text = zod.string().max(200);

const record = zod.object({
  name: text,
  startedAt: zod.number(),
  dataCentre: text,
  region: text,
  callerAddress: text,
  peerAddress: text,
});

const instance = zod.object({
  record,
  state: zod.enum(['serving', 'unready', 'stopping']),
  beat: zod.int().nonnegative(),
});

/** Checks what a peer sent. */
export const peerNewsSchema: zod.ZodType<PeerNews> = zod.object({
  from: text,
  instances: zod.array(instance).max(PEER_LIST_LIMIT),
  loads: zod
    .array(
      zod.object({
        upstream: text,
        requests: zod.number(),
        tokens: zod.number(),
      }),
    )
    .max(PEER_LIST_LIMIT),
  slow: zod
    .array(
      zod.object({
        upstream: text,
        factor: zod.number(),
        ageMilliseconds: zod.number().nonnegative(),
      }),
    )
    .max(PEER_LIST_LIMIT),
  holdsLease: zod.boolean(),
  lost: zod.array(text).max(PEER_LIST_LIMIT),
});

/** Checks a record from the list of instances. */
export const instanceRecordSchema = record;
