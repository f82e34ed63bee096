import * as zod from 'zod';

import {SlownessReading} from '../../fleet/common/slowness.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {InstanceNews} from './instance.js';

/** What instances tell each other in one exchange. */

/** The load of the sender on one upstream. */
export interface UpstreamLoadNews {
  readonly upstream: string;
  readonly requests: number;
  readonly tokenLayers: number;
}

/** What a peer knows of the platform's list of upstreams. */
export interface UpstreamListNews {
  readonly digest: string;
  /** Time since it was read. */
  readonly ageMilliseconds: number;
  /** The list itself, in an answer to a peer that knows another, older one. */
  readonly upstreams?: readonly Upstream[];
}

/** One side of an exchange. */
export interface PeerNews {
  readonly from: string;
  readonly instances: readonly InstanceNews[];
  readonly loads: readonly UpstreamLoadNews[];
  readonly slow: readonly SlownessReading[];
  /** Undefined before the list was first read. */
  readonly list?: UpstreamListNews;
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

const upstream: zod.ZodType<Upstream> = zod.object({
  id: text,
  name: text,
  startedAt: zod
    .number()
    .optional()
    .transform(start => start),
  service: text,
  address: text,
  dataCentre: text,
  slots: zod.number(),
  isLeaving: zod.boolean(),
  coldMilliseconds: zod.number(),
  // JSON leaves out what is undefined.
  acceleratorKind: text.optional().transform(kind => kind),
  layers: zod
    .object({from: zod.int(), to: zod.int()})
    .optional()
    .transform(range => range),
  models: zod.array(text),
});

const list = zod.object({
  digest: text,
  ageMilliseconds: zod.number().nonnegative(),
  upstreams: zod.array(upstream).max(PEER_LIST_LIMIT).optional(),
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
        tokenLayers: zod.number(),
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
  list: list.optional(),
  holdsLease: zod.boolean(),
  lost: zod.array(text).max(PEER_LIST_LIMIT),
});

/** Checks a record from the list of instances. */
export const instanceRecordSchema = record;
