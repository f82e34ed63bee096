/** Normalises responses for golden files: replaces fields that differ between runs by fixed texts. */

type Replacement = (value: unknown) => unknown;

/** Fields that differ between runs, with the replacement of their values. */
const VOLATILE_FIELDS: Readonly<Record<string, Replacement>> = {
  id: value => String(value).replace(/^chatcmpl-.+$/, 'chatcmpl-<id>'),
  created: () => '<time>',
  grant: value => (value === null ? null : '<grant>'),
  grantAddress: value => (value === null ? null : '<address>'),
  addresses: value => (value as readonly unknown[]).map(() => '<address>'),
  nonce: () => '<nonce>',
  committedAtWallMilliseconds: () => '<time>',
};

interface StreamChunk {
  readonly id: string;
  readonly model: string;
  readonly choices: ReadonlyArray<{
    readonly delta: {readonly role?: string; readonly content?: string};
    readonly finish_reason: string | null;
  }>;
  readonly usage?: unknown;
}

/** Normalises the body of a response, according to its content type. */
export function normaliseResponse(contentType: string, text: string): unknown {
  if (contentType.startsWith('text/event-stream')) {
    return normaliseStream(text);
  }
  try {
    return normaliseValue(JSON.parse(text));
  } catch {
    return text;
  }
}

function normaliseValue(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(normaliseValue);
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const fields = Object.entries(value).map(([name, inner]) => {
    const replace = VOLATILE_FIELDS[name] ?? normaliseValue;
    return [name, replace(inner)];
  });
  return Object.fromEntries(fields);
}

/** Summarises a stream: the text may be split into different chunks, but its order and the end of the stream count. */
function normaliseStream(text: string): unknown {
  const events = text.split('\n\n').filter(event => event !== '');
  const chunks = events
    .map(event => /^data: (\{.*)$/m.exec(event)?.[1])
    .filter(data => data !== undefined)
    .map(data => JSON.parse(data) as StreamChunk);
  const choices = chunks.flatMap(chunk => chunk.choices ?? []);
  return {
    ids: new Set(chunks.map(chunk => chunk.id)).size,
    model: chunks[0]?.model,
    role: choices[0]?.delta.role,
    content: choices.map(choice => choice.delta.content ?? '').join(''),
    finishReasons: choices
      .map(choice => choice.finish_reason)
      .filter(reason => reason !== null),
    usage: chunks.find(chunk => chunk.usage !== undefined)?.usage,
    endedWithDone: events.at(-1) === 'data: [DONE]',
  };
}
