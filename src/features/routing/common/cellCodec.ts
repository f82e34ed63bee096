import {z} from 'zod';

import {
  FailureMessage,
  ReleaseMessage,
  ReplanRequest,
  ReserveResponse,
  ReserveRequest,
  SummaryMessage,
} from './cellMessages.js';
import {
  responseRowSchema,
  failureRowSchema,
  refusalReasons,
  releaseRowSchema,
  replanRowSchema,
  reserveRowSchema,
  summaryRowSchema,
} from './cellSchemas.js';
import {FrontCoder} from './frontCoder.js';
import {
  decodeObservation,
  decodePrediction,
  decodeStages,
  encodeObservation,
  encodePrediction,
  encodeStages,
} from './stageCodec.js';
import {decodeWork, encodeWork} from './workCodec.js';

/**
 * Converts messages about cells to positional rows and back. Rows omit what the receiver already
 * knows, and names in lists are front-coded.
 */

/** A call for capacity, as sent on the wire. */
export type ReserveRow = z.input<typeof reserveRowSchema>;
/** A call for replacement stages, as sent on the wire. */
export type ReplanRow = z.input<typeof replanRowSchema>;
/** A release, as sent on the wire. */
export type ReleaseRow = z.input<typeof releaseRowSchema>;
/** A stage's failure or first response, as sent on the wire. */
export type FailureRow = z.input<typeof failureRowSchema>;
/** An owner's response, as sent on the wire. */
export type ResponseRow = z.input<typeof responseRowSchema>;
/** A summary of one model in one cell, as sent on the wire. */
export type SummaryRow = z.input<typeof summaryRowSchema>;

/** Names in a call that its releases are front-coded against. */
type ReleaseBase = Pick<ReserveRequest, 'cell' | 'reservationId'>;
/** Names in a call that the summaries in its response are front-coded against. */
type SummaryBase = Pick<ReserveRequest, 'cell' | 'model'>;

const emptyBase: ReleaseBase & SummaryBase = {
  cell: '',
  reservationId: '',
  model: '',
};

export function encodeReserve(call: ReserveRequest): ReserveRow {
  return [
    call.cell,
    call.model,
    call.reservationId,
    encodeWork(call.work),
    [...call.excluded],
    encodeReleases(call.releases, call),
  ];
}

/** Decodes a row that its schema has accepted, as do the functions below. */
export function decodeReserve(
  row: z.output<typeof reserveRowSchema>,
): ReserveRequest {
  const [cell, model, reservationId, work, excluded, releases] = row;
  return {
    cell,
    model,
    reservationId,
    work: decodeWork(work),
    excluded,
    releases: decodeReleases(releases, {cell, reservationId}),
  };
}

export function encodeReplan(call: ReplanRequest): ReplanRow {
  return [call.replaces, encodeReserve(call)];
}

export function decodeReplan(
  row: z.output<typeof replanRowSchema>,
): ReplanRequest {
  const [replaces, reserve] = row;
  return {...decodeReserve(reserve), replaces};
}

/** Encodes releases; `base` is the call that they are sent with, if any. */
export function encodeReleases(
  releases: readonly ReleaseMessage[],
  base: ReleaseBase = emptyBase,
): ReleaseRow[] {
  const cells = new FrontCoder(base.cell);
  const ids = new FrontCoder(base.reservationId);
  const upstreams = new FrontCoder();
  return releases.map(({cell, reservationId, observations}) => [
    cells.encode(cell),
    ids.encode(reservationId),
    observations.map(observation => encodeObservation(observation, upstreams)),
  ]);
}

/** Decodes releases; `base` is the call that they were sent with, if any. */
export function decodeReleases(
  rows: ReadonlyArray<z.output<typeof releaseRowSchema>>,
  base: ReleaseBase = emptyBase,
): ReleaseMessage[] {
  const cells = new FrontCoder(base.cell);
  const ids = new FrontCoder(base.reservationId);
  const upstreams = new FrontCoder();
  return rows.map(([cell, reservationId, observations]) => ({
    cell: cells.decode(cell),
    reservationId: ids.decode(reservationId),
    observations: observations.map(observationRow =>
      decodeObservation(observationRow, upstreams),
    ),
  }));
}

export function encodeFailure(failure: FailureMessage): FailureRow {
  const {cell, reservationId, observation} = failure;
  const upstreams = new FrontCoder();
  return [cell, reservationId, encodeObservation(observation, upstreams)];
}

export function decodeFailure(
  row: z.output<typeof failureRowSchema>,
): FailureMessage {
  const [cell, reservationId, observation] = row;
  const upstreams = new FrontCoder();
  return {
    cell,
    reservationId,
    observation: decodeObservation(observation, upstreams),
  };
}

/** Encodes summaries; `base` is the call that they respond to, if it names a cell and model. */
export function encodeSummaries(
  summaries: readonly SummaryMessage[],
  base: SummaryBase = emptyBase,
): SummaryRow[] {
  const cells = new FrontCoder(base.cell);
  const models = new FrontCoder(base.model);
  return summaries.map(summary => [
    cells.encode(summary.cell),
    models.encode(summary.model),
    summary.freeSlots,
    summary.earliestStartMilliseconds,
    summary.ageMilliseconds,
  ]);
}

/** Decodes summaries; `base` is the call that they respond to, if it names a cell and model. */
export function decodeSummaries(
  rows: ReadonlyArray<z.output<typeof summaryRowSchema>>,
  base: SummaryBase = emptyBase,
): SummaryMessage[] {
  const cells = new FrontCoder(base.cell);
  const models = new FrontCoder(base.model);
  return rows.map(([cell, model, freeSlots, earliestStart, age]) => ({
    cell: cells.decode(cell),
    model: models.decode(model),
    freeSlots,
    earliestStartMilliseconds: earliestStart,
    ageMilliseconds: age,
  }));
}

/** Encodes a response without the cell and the reservation id, which the requester knows from its call. */
export function encodeResponse(
  call: ReserveRequest,
  response: ReserveResponse,
): ResponseRow {
  const summaries = encodeSummaries(response.summaries, call);
  if (response.kind === 'refused') {
    const reason = refusalReasons.indexOf(response.reason);
    return [1, reason, response.retryAfterMilliseconds, summaries];
  }
  const {stages, prediction, candidates, reason} = response.reservation;
  return [
    0,
    encodeStages(stages),
    encodePrediction(prediction),
    candidates ?? null,
    reason ?? null,
    summaries,
  ];
}

/** Decodes the response to `call`, which supplies the omitted fields. */
export function decodeResponse(
  call: ReserveRequest,
  row: z.output<typeof responseRowSchema>,
): ReserveResponse {
  if (row[0] === 1) {
    const [, reason, retryAfterMilliseconds, summaryRows] = row;
    return {
      kind: 'refused',
      reason: refusalReasons[reason]!,
      retryAfterMilliseconds,
      summaries: decodeSummaries(summaryRows, call),
    };
  }
  const [, stages, prediction, candidates, reason, summaryRows] = row;
  return {
    kind: 'reserved',
    reservation: {
      reservationId: call.reservationId,
      cell: call.cell,
      stages: decodeStages(stages),
      prediction: decodePrediction(prediction),
      candidates: candidates ?? undefined,
      reason: reason ?? undefined,
    },
    summaries: decodeSummaries(summaryRows, call),
  };
}
