import {
  ResponseMetadata,
  RawHeaders,
  RequestMetadata,
  UpstreamHeaderValues,
  HeaderCodec,
} from '../common/headerCodec.js';

/** A header format with plain names. */

/** Headers that say how a body is framed, which are not forwarded. */
const FRAMING_HEADERS = new Set([
  'connection',
  'content-length',
  'transfer-encoding',
]);

/** Headers with plain names; the values that the router adds are one header in JSON. */
export class FakeHeaderCodec extends HeaderCodec {
  override readRequest(headers: RawHeaders): RequestMetadata {
    const fields = toFields(headers);
    return {
      id: fields['id'],
      host: fields['host'],
      key: fields['key'],
      deadlineMilliseconds: Number(fields['deadline'] ?? 10_000),
      lastEvent:
        fields['last'] === undefined ? undefined : Number(fields['last']),
      promptTokens: 10,
      answerTokens: 10,
      expectedAnswerTokens: undefined,
      promptParts: fields['parts']?.split(',') ?? [],
    };
  }

  override upstreamHeaders(
    headers: RawHeaders,
    {account, deadlineMilliseconds, lastEvent, path}: UpstreamHeaderValues,
  ): string[] {
    const hops = path?.map(({upstream}) => upstream.id);
    const added = {account, deadlineMilliseconds, lastEvent, hops};
    return [
      'id',
      toFields(headers)['id'] ?? '',
      'added',
      JSON.stringify(added),
    ];
  }

  override readResponse(
    _status: number,
    headers: RawHeaders,
  ): ResponseMetadata {
    const fields = toFields(headers);
    return {
      requestId: fields['id'],
      hasProof: fields['proof'] !== undefined,
      isNotRun: fields['notRun'] !== undefined,
      isMisdirected: fields['misdirected'] !== undefined,
      faultyAddress: fields['faulty'],
      isEncoded: fields['encoded'] !== undefined,
      requestLimit:
        fields['limit'] === undefined ? undefined : Number(fields['limit']),
      isLeaving: fields['leaving'] !== undefined,
      restMilliseconds:
        fields['rest'] === undefined ? undefined : Number(fields['rest']),
    };
  }

  override callerHeaders(headers: RawHeaders): string[] {
    return headers.filter((_, index) => {
      const name = headers[index - (index % 2)]!.toLowerCase();
      return !FRAMING_HEADERS.has(name);
    });
  }
}

/** Header fields by name. */
export function toFields(
  headers: RawHeaders,
): Readonly<Record<string, string | undefined>> {
  const fields: Record<string, string | undefined> = {};
  for (let index = 0; index + 1 < headers.length; index += 2) {
    fields[headers[index]!] = headers[index + 1];
  }
  return fields;
}
