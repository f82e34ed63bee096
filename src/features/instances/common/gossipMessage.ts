import * as zod from 'zod';

import {CrashRecordNews} from '../../crashes/common/crashRecordKeeper.js';
import {crashRecordSchema} from '../../crashes/common/crashRecordRow.js';
import {
  CrashExchange,
  CrashNews,
  PROMPT_PART_LIMIT,
} from '../../crashes/common/crashReport.js';
import {
  REQUEST_NEWS_LIMIT,
  RequestLossNews,
} from '../../crashes/common/requestLosses.js';
import {LimitReading} from '../../fleet/common/upstreamLimitTracker.js';
import {RestReading} from '../../fleet/common/upstreamRests.js';
import {SlownessReading} from '../../fleet/common/slownessTracker.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {heartbeatColumnsSchema} from './heartbeatColumns.js';
import {HeartbeatMessage} from './heartbeatExchange.js';

/** Messages that instances exchange by gossip. */

/** Load that the sender puts on one upstream. */
export interface UpstreamLoadReport {
  readonly upstream: string;
  readonly requests: number;
  readonly starts: number;
  readonly tokenLayers: number;
}

/** Version of the platform's list of upstreams at the sender. */
export interface UpstreamListState {
  readonly digest: string;
  /** Time since the list was read. */
  readonly ageMilliseconds: number;
  /** The entries, in a response to a peer whose list is a different, older one. */
  readonly upstreams?: readonly Upstream[];
}

/** Request or response of an exchange. */
export interface GossipMessage extends CrashNews, HeartbeatMessage {
  readonly from: string;
  readonly loads: readonly UpstreamLoadReport[];
  readonly slow: readonly SlownessReading[];
  /** Limits that upstreams name, and ends of limits; passed on from peer to peer. */
  readonly limits: readonly LimitReading[];
  /** Upstreams that asked for rest while a peer relayed requests to them; passed on from peer to peer. */
  readonly rests: readonly RestReading[];
  /** Requests that have lost upstreams; undefined if there are none, or if the sender is of an earlier release. */
  readonly requestLosses?: RequestLossNews | undefined;
  /** What is recorded of crashes; undefined if nothing is, or if the sender is of an earlier release. */
  readonly crashRecord?: CrashRecordNews | undefined;
  /** Undefined before the first read of the list. */
  readonly list?: UpstreamListState;
  /** Whether the sender holds the lease of the layer controller. */
  readonly holdsLease: boolean;
  /** Identifiers of upstreams that the sender suspects to be lost. */
  readonly lost: readonly string[];
}

/** Maximum entries of each list in a message. Senders truncate longer lists, but omit a longer list of upstreams. */
export const MESSAGE_LIST_LIMIT = 4_096;

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
  // Instances of earlier releases do not tell.
  isCutOff: zod.boolean().default(false),
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
  // JSON omits properties that are undefined.
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
  upstreams: zod.array(upstream).max(MESSAGE_LIST_LIMIT).optional(),
});

const age = zod.number().nonnegative();

const crashes: zod.ZodType<CrashExchange> = zod.object({
  digest: zod.number(),
  reports: zod
    .array(
      zod.object({
        upstream: text,
        ageMilliseconds: age,
        requests: zod
          .array(
            zod.object({
              request: text,
              account: text,
              promptParts: zod.array(text).min(1).max(PROMPT_PART_LIMIT),
            }),
          )
          .max(MESSAGE_LIST_LIMIT),
      }),
    )
    .max(MESSAGE_LIST_LIMIT),
  soundParts: zod
    .array(zod.object({part: text, ageMilliseconds: age}))
    .max(MESSAGE_LIST_LIMIT),
  soundAgeMilliseconds: age.optional(),
});

/** Validates what a peer tells of requests that have lost upstreams. */
export const requestLossNewsSchema: zod.ZodType<RequestLossNews> = zod.object({
  losses: zod
    .array(
      zod.object({
        key: text,
        upstream: text,
        kind: zod.enum(['lost', 'left']),
        isProved: zod.boolean(),
        ageMilliseconds: age,
      }),
    )
    .max(REQUEST_NEWS_LIMIT),
  answered: zod
    .array(zod.object({key: text, ageMilliseconds: age}))
    .max(REQUEST_NEWS_LIMIT),
});

const crashRecord: zod.ZodType<CrashRecordNews> = zod.object({
  version: zod.int().nonnegative(),
  // A later release may send a record of another format.
  content: zod
    .object({record: crashRecordSchema, clockMilliseconds: zod.number()})
    .optional()
    .catch(undefined),
});

/** Validates a message of a peer. */
export const gossipMessageSchema: zod.ZodType<GossipMessage> = zod.object({
  from: text,
  instances: zod.array(instance).max(MESSAGE_LIST_LIMIT),
  // Instances of earlier releases send none.
  updates: heartbeatColumnsSchema(MESSAGE_LIST_LIMIT).optional(),
  loads: zod
    .array(
      zod.object({
        upstream: text,
        requests: zod.number(),
        // Instances of earlier releases do not tell.
        starts: zod.number().default(0),
        tokenLayers: zod.number(),
      }),
    )
    .max(MESSAGE_LIST_LIMIT),
  slow: zod
    .array(
      zod.object({
        upstream: text,
        factor: zod.number(),
        ageMilliseconds: zod.number().nonnegative(),
      }),
    )
    .max(MESSAGE_LIST_LIMIT),
  // Instances of earlier releases send none.
  limits: zod
    .array(
      zod.object({
        upstream: text,
        requestsPerSecond: zod.number().nonnegative().optional(),
        ageMilliseconds: zod.number().nonnegative(),
      }),
    )
    .max(MESSAGE_LIST_LIMIT)
    .default([]),
  // Instances of earlier releases send none.
  rests: zod
    .array(zod.object({upstream: text, remainingMilliseconds: age}))
    .max(MESSAGE_LIST_LIMIT)
    .default([]),
  crashes: crashes.optional(),
  lateCrashes: crashes.optional(),
  lateSharedCrashes: crashes.optional(),
  requestLosses: requestLossNewsSchema.optional(),
  crashRecord: crashRecord.optional(),
  list: list.optional(),
  holdsLease: zod.boolean(),
  lost: zod.array(text).max(MESSAGE_LIST_LIMIT),
});

/** Validates a record of the instance registry. */
export const instanceRecordSchema = record;
