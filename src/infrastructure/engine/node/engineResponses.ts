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

/** Validates engine responses. Receipts are validated without a schema, since this runs for each token and stage. */

const rangeSchema = z.object({
  from: z.number().int().nonnegative(),
  to: z.number().int().nonnegative(),
});

const cancelReportSchema = z.object({
  requestId: z.string(),
  state: z.enum(['idle', 'running']),
  begun: z.boolean(),
  engineIncarnation: z.string().optional(),
});

const exportSchema = z.object({
  requestId: z.string(),
  reference: z.string(),
  layers: rangeSchema,
  positions: rangeSchema,
});

const importSchema = z.object({requestId: z.string(), positions: rangeSchema});

const orderResponseSchema = z.object({fencing: z.number(), order: z.number()});

const reportSchema = z.object({
  upstream: z.string(),
  engineIncarnation: z.string(),
  acceleratorKind: z.string(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  layers: rangeSchema,
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

/** Parses a receipt; every field that identifies the work must match the step. */
export function parseReceipt(
  request: StepRequest,
  body: unknown,
): Result<StepReceipt, EngineError> {
  const receipt = toReceipt(body);
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
  if (!isSameRange(receipt.layers, request.layers)) {
    return 'range of layers';
  }
  if (!isSameRange(receipt.positions, request.positions)) {
    return 'range of positions';
  }
  const isLast = request.layers.to === request.layerCount;
  if ((receipt.output.kind === 'token') !== isLast) {
    return 'kind of output';
  }
  return undefined;
}

function toReceipt(body: unknown): StepReceipt | undefined {
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
    isNonNegativeNumber(value.queueMilliseconds) &&
    isNonNegativeNumber(value.computeMilliseconds) &&
    isNonNegativeNumber(value.transferMilliseconds);
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

function isNonNegativeNumber(value: unknown): boolean {
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

function isSameRange(left: LayerRange, right: LayerRange): boolean {
  return left.from === right.from && left.to === right.to;
}

/** Parses the response to a cancellation. */
export function parseCancelReport(
  requestId: string,
  body: unknown,
): Result<CancelReport, EngineError> {
  return parseForRequest(cancelReportSchema, requestId, body, response => ({
    state: response.state,
    begun: response.begun,
    engineIncarnation: response.engineIncarnation,
  }));
}

/** Parses the response to an export of a KV cache. */
export function parseCacheReference(
  requestId: string,
  body: unknown,
): Result<CacheReference, EngineError> {
  return parseForRequest(exportSchema, requestId, body, response => ({
    reference: response.reference,
    layers: response.layers,
    positions: response.positions,
  }));
}

/** Parses the response to an import of a KV cache; returns the positions that the cache covers. */
export function parseImportedPositions(
  requestId: string,
  body: unknown,
): Result<PositionRange, EngineError> {
  return parseForRequest(
    importSchema,
    requestId,
    body,
    response => response.positions,
  );
}

/** Parses a report; it must name the expected upstream, since an address may have been reassigned to another one. */
export function parseEngineReport(
  upstream: string,
  body: unknown,
): Result<EngineReport, EngineError> {
  const parsed = reportSchema.safeParse(body);
  if (!parsed.success) {
    return failure({kind: 'lost', detail: describeMalformed(parsed.error)});
  }
  if (parsed.data.upstream !== upstream) {
    const detail = `upstream ${parsed.data.upstream} answered`;
    return failure({kind: 'mismatch', detail});
  }
  return success(parsed.data);
}

/** Checks that the response acknowledges the order that was sent. */
export function validateOrderResponse(
  order: EngineOrder,
  body: unknown,
): Result<void, EngineError> {
  const parsed = orderResponseSchema.safeParse(body);
  if (!parsed.success) {
    return failure({kind: 'lost', detail: describeMalformed(parsed.error)});
  }
  const {fencing, order: orderNumber} = parsed.data;
  if (fencing !== order.fencing || orderNumber !== order.order) {
    return failure({kind: 'mismatch', detail: 'another order was answered'});
  }
  return success(undefined);
}

/** Parses an error response; without a valid rejection in it, the call may have been executed. */
export function parseEngineError(status: number, body: unknown): EngineError {
  const parsed = errorSchema.safeParse(body);
  if (parsed.success) {
    return parsed.data.error;
  }
  return {kind: 'lost', detail: `status ${status} without a stated refusal`};
}

function parseForRequest<T extends {readonly requestId: string}, V>(
  schema: z.ZodType<T>,
  requestId: string,
  body: unknown,
  select: (response: T) => V,
): Result<V, EngineError> {
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    return failure({kind: 'lost', detail: describeMalformed(parsed.error)});
  }
  if (parsed.data.requestId !== requestId) {
    return failure({kind: 'mismatch', detail: 'another request was answered'});
  }
  return success(select(parsed.data));
}

function describeMalformed(error: z.ZodError): string {
  const field = error.issues[0]?.path.join('.') ?? '';
  return `the answer is malformed at $.${field}`;
}
