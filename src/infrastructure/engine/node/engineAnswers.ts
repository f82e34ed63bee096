import {z} from 'zod';

import {failure, Result, success} from '../../../base/common/result.js';
import {
  CacheReference,
  CancelReport,
  EngineError,
  EngineOrder,
  EngineReport,
  LayerRange,
  PositionRange,
  StepOutput,
  StepReceipt,
  StepRequest,
} from '../common/engineConnection.js';

/** Checks of what engines answer. Steps are checked by hand, since that runs for each token and stage. */

const range = z.object({
  from: z.number().int().nonnegative(),
  to: z.number().int().nonnegative(),
});

const cancelSchema = z.object({
  requestId: z.string(),
  state: z.enum(['idle', 'running']),
  begun: z.boolean(),
  engineIncarnation: z.string().optional(),
});

const exportSchema = z.object({
  requestId: z.string(),
  reference: z.string(),
  layers: range,
  positions: range,
});

const importSchema = z.object({requestId: z.string(), positions: range});

const orderSchema = z.object({fencing: z.number(), order: z.number()});

const reportSchema = z.object({
  upstream: z.string(),
  engineIncarnation: z.string(),
  acceleratorKind: z.string(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  layers: range,
  role: z.enum(['both', 'prefill', 'decode']),
  checksFencing: z.boolean(),
  sequenceLimit: z.number().int().nonnegative(),
  residentSequences: z.number().int().nonnegative(),
  queuedSequences: z.number().int().nonnegative(),
  decodeMilliseconds: z.number().nonnegative(),
  prefillMillisecondsPerToken: z.number().nonnegative(),
  cachedPrefixes: z.array(z.string()),
  ageMilliseconds: z.number().nonnegative(),
  leaving: z.boolean(),
  appliedOrder: z.number(),
  loading: z.boolean(),
});

const refusalSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('stale'), highest: z.number()}),
  z.object({kind: z.literal('cacheMissing'), coveredTo: z.number()}),
  z.object({
    kind: z.literal('overloaded'),
    retryAfterMilliseconds: z.number().nonnegative(),
  }),
  z.object({kind: z.literal('refused'), detail: z.string()}),
]);

const errorSchema = z.object({error: refusalSchema});

/** A receipt that belongs to the step; every field that identifies the work must agree. */
export function checkReceipt(
  request: StepRequest,
  body: unknown,
): Result<StepReceipt, EngineError> {
  const receipt = asReceipt(body);
  if (receipt === undefined) {
    return failure({kind: 'lost', detail: 'the receipt is malformed'});
  }
  const difference = findDifference(request, receipt);
  if (difference !== undefined) {
    const detail = `the receipt has another ${difference}`;
    return failure({kind: 'mismatch', detail});
  }
  return success(receipt);
}

function findDifference(
  request: StepRequest,
  receipt: StepReceipt,
): string | undefined {
  if (receipt.requestId !== request.requestId) {
    return 'request';
  }
  if (receipt.epoch !== request.epoch) {
    return 'epoch';
  }
  if (!sameRange(receipt.layers, request.layers)) {
    return 'range of layers';
  }
  if (!sameRange(receipt.positions, request.positions)) {
    return 'range of positions';
  }
  const isLast = request.layers.to === request.layerCount;
  if ((receipt.output.kind === 'token') !== isLast) {
    return 'kind of output';
  }
  return undefined;
}

function asReceipt(body: unknown): StepReceipt | undefined {
  const value = body as StepReceipt;
  const isReceipt =
    typeof body === 'object' &&
    body !== null &&
    typeof value.requestId === 'string' &&
    typeof value.epoch === 'number' &&
    isRange(value.layers) &&
    isRange(value.positions) &&
    isOutput(value.output) &&
    typeof value.engineIncarnation === 'string' &&
    isDuration(value.queueMilliseconds) &&
    isDuration(value.computeMilliseconds) &&
    isDuration(value.transferMilliseconds);
  return isReceipt ? value : undefined;
}

function isOutput(value: unknown): value is StepOutput {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const output = value as StepOutput;
  if (output.kind === 'activation') {
    return typeof output.data === 'string';
  }
  return (
    output.kind === 'token' &&
    typeof output.token === 'string' &&
    typeof output.endOfText === 'boolean'
  );
}

function isDuration(value: unknown): boolean {
  return typeof value === 'number' && value >= 0;
}

function isRange(value: unknown): value is LayerRange {
  const candidate = value as LayerRange;
  return (
    typeof value === 'object' &&
    value !== null &&
    Number.isInteger(candidate.from) &&
    Number.isInteger(candidate.to)
  );
}

function sameRange(left: LayerRange, right: LayerRange): boolean {
  return left.from === right.from && left.to === right.to;
}

/** What an engine says of a cancelled request. */
export function checkCancelReport(
  requestId: string,
  body: unknown,
): Result<CancelReport, EngineError> {
  return checkOwned(cancelSchema, requestId, body, answer => ({
    state: answer.state,
    begun: answer.begun,
    engineIncarnation: answer.engineIncarnation,
  }));
}

/** A reference to an exported KV cache. */
export function checkExport(
  requestId: string,
  body: unknown,
): Result<CacheReference, EngineError> {
  return checkOwned(exportSchema, requestId, body, answer => ({
    reference: answer.reference,
    layers: answer.layers,
    positions: answer.positions,
  }));
}

/** The positions that an imported KV cache covers. */
export function checkImport(
  requestId: string,
  body: unknown,
): Result<PositionRange, EngineError> {
  return checkOwned(importSchema, requestId, body, answer => answer.positions);
}

/** A report that belongs to the upstream asked: an address may have passed to another. */
export function checkEngineReport(
  upstream: string,
  body: unknown,
): Result<EngineReport, EngineError> {
  const parsed = reportSchema.safeParse(body);
  if (!parsed.success) {
    return failure({kind: 'lost', detail: malformed(parsed.error)});
  }
  if (parsed.data.upstream !== upstream) {
    const detail = `upstream ${parsed.data.upstream} answered`;
    return failure({kind: 'mismatch', detail});
  }
  return success(parsed.data);
}

/** Whether the answer names the order sent. */
export function checkOrderAnswer(
  order: EngineOrder,
  body: unknown,
): Result<void, EngineError> {
  const parsed = orderSchema.safeParse(body);
  if (!parsed.success) {
    return failure({kind: 'lost', detail: malformed(parsed.error)});
  }
  const {fencing, order: number} = parsed.data;
  if (fencing !== order.fencing || number !== order.order) {
    return failure({kind: 'mismatch', detail: 'another order was answered'});
  }
  return success(undefined);
}

/** A refusal; an answer that states none leaves open whether the step ran. */
export function checkEngineError(status: number, body: unknown): EngineError {
  const parsed = errorSchema.safeParse(body);
  if (parsed.success) {
    return parsed.data.error;
  }
  return {kind: 'lost', detail: `status ${status} without a stated refusal`};
}

function checkOwned<T extends {readonly requestId: string}, V>(
  schema: z.ZodType<T>,
  requestId: string,
  body: unknown,
  take: (answer: T) => V,
): Result<V, EngineError> {
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    return failure({kind: 'lost', detail: malformed(parsed.error)});
  }
  if (parsed.data.requestId !== requestId) {
    return failure({kind: 'mismatch', detail: 'another request was answered'});
  }
  return success(take(parsed.data));
}

function malformed(error: z.ZodError): string {
  const place = error.issues[0]?.path.join('.') ?? '';
  return `the answer is malformed at $.${place}`;
}
