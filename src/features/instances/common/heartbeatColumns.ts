import * as zod from 'zod';

import {InstanceState} from './instance.js';

/** A short form of heartbeats, for peers that know the records of the instances. */

/** The changing part of a heartbeat; the record is known by name and start. */
export interface HeartbeatUpdate {
  readonly name: string;
  /** Identifies the run; see `InstanceRecord`. */
  readonly startedAt: number;
  readonly state: InstanceState;
  readonly isCutOff: boolean;
  readonly beat: number;
}

/** Heartbeat updates by columns: one value for each instance, or the indices of the few that differ from the rest. */
export interface HeartbeatColumns {
  readonly names: readonly string[];
  readonly startedAts: readonly number[];
  readonly beats: readonly number[];
  /** Indices of instances that are not serving, by state. */
  readonly unready: readonly number[];
  readonly stopping: readonly number[];
  /** Indices of instances that are cut off. */
  readonly cutOff: readonly number[];
}

/** Creates the schema of heartbeat columns with a maximum number of instances. */
export function heartbeatColumnsSchema(
  limit: number,
): zod.ZodType<HeartbeatColumns> {
  const indices = zod.array(zod.int().nonnegative()).max(limit);
  return zod
    .object({
      names: zod.array(zod.string().max(200)).max(limit),
      startedAts: zod.array(zod.number()).max(limit),
      beats: zod.array(zod.int().nonnegative()).max(limit),
      unready: indices,
      stopping: indices,
      cutOff: indices,
    })
    .refine(({names, startedAts}) => names.length === startedAts.length, {
      path: ['startedAts'],
      error: 'must have as many values as names',
    })
    .refine(({names, beats}) => names.length === beats.length, {
      path: ['beats'],
      error: 'must have as many values as names',
    });
}

/** Turns heartbeat updates into columns. */
export function toHeartbeatColumns(
  updates: readonly HeartbeatUpdate[],
): HeartbeatColumns {
  const indicesOf = (
    isIncluded: (update: HeartbeatUpdate) => boolean,
  ): readonly number[] =>
    updates.flatMap((update, index) => (isIncluded(update) ? [index] : []));
  return {
    names: updates.map(({name}) => name),
    startedAts: updates.map(({startedAt}) => startedAt),
    beats: updates.map(({beat}) => beat),
    unready: indicesOf(({state}) => state === 'unready'),
    stopping: indicesOf(({state}) => state === 'stopping'),
    cutOff: indicesOf(({isCutOff}) => isCutOff),
  };
}

/** Turns columns back into heartbeat updates. */
export function fromHeartbeatColumns({
  names,
  startedAts,
  beats,
  ...indices
}: HeartbeatColumns): readonly HeartbeatUpdate[] {
  const unready = new Set(indices.unready);
  const stopping = new Set(indices.stopping);
  const cutOff = new Set(indices.cutOff);
  return names.map((name, index) => ({
    name,
    startedAt: startedAts[index]!,
    state: stopping.has(index)
      ? 'stopping'
      : unready.has(index)
        ? 'unready'
        : 'serving',
    isCutOff: cutOff.has(index),
    beat: beats[index]!,
  }));
}
