import {z} from 'zod';

import {
  FailureNote,
  ReleaseNote,
  ReplanCall,
  ReserveAnswer,
  ReserveCall,
  SummaryNote,
} from './cellMessages.js';
import {
  ChosenStage,
  Prediction,
  StageObservation,
  WorkEstimate,
} from './routing.js';
import {
  answerRow,
  failureRow,
  outcomes,
  refusalReasons,
  releaseRow,
  replanRow,
  reserveRow,
  summaryRow,
  workRow,
} from './cellSchemas.js';
import {FrontCoding} from './frontCoding.js';

/** Bits of what a dispatcher must know of a stage. */
enum StageTrait {
  checksFencing = 1,
  fencingKnown = 2,
  probing = 4,
}

/**
 * Turns messages about cells into positional rows and back. What the reader knows is left out, and
 * names in lists are front-coded.
 */

/** A reservation call as it travels. */
export type ReserveRow = z.input<typeof reserveRow>;
/** A call for other stages as it travels. */
export type ReplanRow = z.input<typeof replanRow>;
/** A returned reservation as it travels. */
export type ReleaseRow = z.input<typeof releaseRow>;
/** A failed stage as it travels. */
export type FailureRow = z.input<typeof failureRow>;
/** An owner's answer as it travels. */
export type AnswerRow = z.input<typeof answerRow>;
/** What is told of one model in one cell, as it travels. */
export type SummaryRow = z.input<typeof summaryRow>;

/** Names of a call from which those in its releases are coded. */
type Names = Pick<ReserveCall, 'cell' | 'reservationId'>;
/** Names of a call from which those in its answer are coded. */
type Asked = Pick<ReserveCall, 'cell' | 'model'>;

const nothing: Names & Asked = {cell: '', reservationId: '', model: ''};

type ReservedRow = Extract<AnswerRow, readonly [0, ...unknown[]]>;
type StageRow = ReservedRow[1][number];
type PredictionRow = ReservedRow[2];

/** The row of a call for capacity. */
export function encodeReserve(call: ReserveCall): ReserveRow {
  return [
    call.cell,
    call.model,
    call.reservationId,
    encodeWork(call.work),
    [...call.excluded],
    encodeReleases(call.releases, call),
  ];
}

/** The call of a checked row. */
export function decodeReserve(row: z.output<typeof reserveRow>): ReserveCall {
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

/** The row of a call for other stages. */
export function encodeReplan(call: ReplanCall): ReplanRow {
  return [call.replaces, encodeReserve(call)];
}

/** The call of a checked row. */
export function decodeReplan(row: z.output<typeof replanRow>): ReplanCall {
  const [replaces, reserve] = row;
  return {...decodeReserve(reserve), replaces};
}

/** The rows of returned reservations, after the names of the call that takes them along. */
export function encodeReleases(
  notes: readonly ReleaseNote[],
  before: Names = nothing,
): ReleaseRow[] {
  const cells = new FrontCoding(before.cell);
  const ids = new FrontCoding(before.reservationId);
  const upstreams = new FrontCoding();
  return notes.map(({cell, reservationId, observations}) => [
    cells.encode(cell),
    ids.encode(reservationId),
    observations.map(one => encodeObservation(one, upstreams)),
  ]);
}

/** The releases of checked rows. */
export function decodeReleases(
  rows: ReadonlyArray<z.output<typeof releaseRow>>,
  before: Names = nothing,
): ReleaseNote[] {
  const cells = new FrontCoding(before.cell);
  const ids = new FrontCoding(before.reservationId);
  const upstreams = new FrontCoding();
  return rows.map(([cell, reservationId, observations]) => ({
    cell: cells.decode(cell),
    reservationId: ids.decode(reservationId),
    observations: observations.map(one => decodeObservation(one, upstreams)),
  }));
}

/** The row of a failed stage. */
export function encodeFailure(note: FailureNote): FailureRow {
  const {cell, reservationId, observation} = note;
  const upstreams = new FrontCoding();
  return [cell, reservationId, encodeObservation(observation, upstreams)];
}

/** The note of a checked row. */
export function decodeFailure(row: z.output<typeof failureRow>): FailureNote {
  const [cell, reservationId, observation] = row;
  const upstreams = new FrontCoding();
  return {
    cell,
    reservationId,
    observation: decodeObservation(observation, upstreams),
  };
}

/** The rows of summaries, after the cell and model that the reader asked for. */
export function encodeSummaries(
  notes: readonly SummaryNote[],
  before: Asked = nothing,
): SummaryRow[] {
  const cells = new FrontCoding(before.cell);
  const models = new FrontCoding(before.model);
  return notes.map(note => [
    cells.encode(note.cell),
    models.encode(note.model),
    note.freeSlots,
    note.earliestStartMilliseconds,
    note.ageMilliseconds,
  ]);
}

/** The summaries of checked rows. */
export function decodeSummaries(
  rows: ReadonlyArray<z.output<typeof summaryRow>>,
  before: Asked = nothing,
): SummaryNote[] {
  const cells = new FrontCoding(before.cell);
  const models = new FrontCoding(before.model);
  return rows.map(([cell, model, freeSlots, earliestStart, age]) => ({
    cell: cells.decode(cell),
    model: models.decode(model),
    freeSlots,
    earliestStartMilliseconds: earliestStart,
    ageMilliseconds: age,
  }));
}

/** The row of an answer; the asker knows the cell and the reservation's id. */
export function encodeAnswer(
  call: ReserveCall,
  answer: ReserveAnswer,
): AnswerRow {
  const summaries = encodeSummaries(answer.summaries, call);
  if (answer.kind === 'refused') {
    const reason = refusalReasons.indexOf(answer.reason);
    return [1, reason, answer.retryAfterMilliseconds, summaries];
  }
  const {stages, prediction, candidates, reason} = answer.reservation;
  return [
    0,
    encodeStages(stages),
    encodePrediction(prediction),
    candidates ?? null,
    reason ?? null,
    summaries,
  ];
}

/** The answer to a call, of a checked row. */
export function decodeAnswer(
  call: ReserveCall,
  row: z.output<typeof answerRow>,
): ReserveAnswer {
  if (row[0] === 1) {
    const [, reason, retryAfterMilliseconds, notes] = row;
    return {
      kind: 'refused',
      reason: refusalReasons[reason]!,
      retryAfterMilliseconds,
      summaries: decodeSummaries(notes, call),
    };
  }
  const [, stages, prediction, candidates, reason, notes] = row;
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
    summaries: decodeSummaries(notes, call),
  };
}

/** What is seldom there comes last, so that it can be left out. */
function encodeWork(work: WorkEstimate): z.input<typeof workRow> {
  return [
    work.requestId,
    work.classOfWork,
    work.clientAccount,
    work.promptTokens,
    work.outputTokens,
    work.firstTokenWithin,
    work.betweenTokensTarget,
    work.deadlineWithin,
    work.priority,
    ...withoutTail([
      work.prefixKey ?? null,
      work.prefixTokens ?? null,
      work.adapter ?? null,
      work.version ?? null,
      work.inProgress ?? null,
    ] as const),
  ];
}

function decodeWork(row: z.output<typeof workRow>): WorkEstimate {
  const [requestId, classOfWork, clientAccount, promptTokens, ...others] = row;
  const [outputTokens, firstTokenWithin, betweenTokensTarget, ...rest] = others;
  const [deadlineWithin, priority, prefixKey, prefixTokens, ...seldom] = rest;
  const [adapter, version, inProgress] = seldom;
  return {
    requestId,
    classOfWork,
    clientAccount,
    adapter: adapter ?? undefined,
    promptTokens,
    outputTokens,
    prefixKey: prefixKey ?? undefined,
    prefixTokens: prefixTokens ?? undefined,
    version: version ?? undefined,
    firstTokenWithin,
    betweenTokensTarget,
    deadlineWithin,
    priority,
    inProgress: inProgress ?? undefined,
  };
}

type SeldomRow = readonly [
  (string | null)?,
  (number | null)?,
  (string | null)?,
  (string | null)?,
  (boolean | null)?,
];

function withoutTail(row: SeldomRow): SeldomRow {
  const last = row.findLastIndex(value => value !== null);
  return row.slice(0, last + 1) as unknown as SeldomRow;
}

function encodeObservation(
  observation: StageObservation,
  upstreams: FrontCoding,
): ReleaseRow[2][number] {
  return [
    upstreams.encode(observation.upstream),
    outcomes.indexOf(observation.outcome),
    observation.steps,
    observation.decodeMilliseconds ?? null,
    observation.linkMilliseconds ?? null,
  ];
}

function decodeObservation(
  row: z.output<typeof releaseRow>[2][number],
  upstreams: FrontCoding,
): StageObservation {
  const [upstream, outcome, steps, decodeMilliseconds, linkMilliseconds] = row;
  return {
    upstream: upstreams.decode(upstream),
    outcome: outcomes[outcome]!,
    decodeMilliseconds: decodeMilliseconds ?? undefined,
    linkMilliseconds: linkMilliseconds ?? undefined,
    steps,
  };
}

function encodeStages(stages: readonly ChosenStage[]): StageRow[] {
  const upstreams = new FrontCoding();
  const addresses = new FrontCoding();
  const versions = new FrontCoding();
  return stages.map(stage => [
    upstreams.encode(stage.upstream),
    addresses.encode(stage.address),
    stage.layers.from,
    stage.layers.to,
    encodeTraits(stage),
    stage.version === undefined ? null : versions.encode(stage.version),
  ]);
}

function decodeStages(rows: readonly StageRow[]): ChosenStage[] {
  const upstreams = new FrontCoding();
  const addresses = new FrontCoding();
  const versions = new FrontCoding();
  return rows.map(([upstream, address, from, to, traits, version]) => ({
    upstream: upstreams.decode(upstream),
    address: addresses.decode(address),
    layers: {from, to},
    ...decodeTraits(traits),
    version: version === null ? undefined : versions.decode(version),
  }));
}

function encodeTraits({checksFencing, probing}: ChosenStage): number {
  const fencing =
    checksFencing === undefined
      ? 0
      : StageTrait.fencingKnown +
        (checksFencing ? StageTrait.checksFencing : 0);
  return fencing + (probing === true ? StageTrait.probing : 0);
}

function decodeTraits(
  traits: number,
): Pick<ChosenStage, 'checksFencing' | 'probing'> {
  const isKnown = (traits & StageTrait.fencingKnown) !== 0;
  const checks = (traits & StageTrait.checksFencing) !== 0;
  const probing = (traits & StageTrait.probing) !== 0 ? true : undefined;
  return {checksFencing: isKnown ? checks : undefined, probing};
}

function encodePrediction(prediction: Prediction): PredictionRow {
  return [
    prediction.startsInMilliseconds,
    prediction.firstTokenMilliseconds,
    prediction.betweenTokensMilliseconds,
    prediction.wholeMilliseconds,
    prediction.figuresAgeMilliseconds,
  ];
}

function decodePrediction(row: PredictionRow): Prediction {
  const [starts, firstToken, betweenTokens, whole, figuresAge] = row;
  return {
    startsInMilliseconds: starts,
    firstTokenMilliseconds: firstToken,
    betweenTokensMilliseconds: betweenTokens,
    wholeMilliseconds: whole,
    // JSON has no infinite numbers.
    figuresAgeMilliseconds: figuresAge ?? Infinity,
  };
}
