/** An ESLint rule that keeps the names of the platform's protocol out of `src`; only `platform/` may use them. */

/** Names that are unique to the platform. Common words such as `Name` or `Service` are not checked. */
const WIRE_NAMES = new Set([
  'ActBytes',
  'Addrs',
  'ApiKeys',
  'At-Server',
  'BeatMs',
  'ColdLeftMs',
  'Deadline-Ms',
  'Expect-Instance',
  'GapTargetMs',
  'GraceS',
  'Hop-Count',
  'KvCapacity',
  'KvTokenBytes',
  'LatencyTargetMs',
  'LayerMb',
  'Length-Hint',
  'LoadS',
  'MaxConns',
  'Not-Run',
  'PipeMbps',
  'PortRange',
  'Prefix-Hash',
  'REDWINGROAD_BOOT',
  'ReadX',
  'Replica-Id',
  'Request-Id',
  'Request-Priority',
  'RetrySlack',
  'RevokeMs',
  'Route-Stamp',
  'TimeoutMs',
  'Token-Count',
  'TtlS',
  'WaitMs',
  'Weight-Versions',
  'rows-feed',
  'rows-get',
  'rows-tx',
  'step_ms',
  'ttl_max_s',
]);

/** Names of headers and calls, which are matched case-insensitively. */
const HYPHENATED_NAMES = new Set(
  [...WIRE_NAMES]
    .filter(name => name.includes('-'))
    .map(name => name.toLowerCase()),
);

/** Finds a platform name in a text, which can be a URL path with a query. */
function findWireName(text) {
  return text
    .split(/[/?=&\s:,]+/)
    .find(
      word => WIRE_NAMES.has(word) || HYPHENATED_NAMES.has(word.toLowerCase()),
    );
}

/** Checks strings and identifiers in files under `src`, including tests. */
export const wireNamesRule = {
  meta: {
    type: 'problem',
    messages: {
      wireName:
        '{{name}} is a name of the platform protocol; use it only in platform/.',
    },
    schema: [],
  },
  create(context) {
    const file = context.filename.slice(context.cwd.length + 1);
    if (!file.startsWith('src')) {
      return {};
    }
    const check = (node, text) => {
      const name = findWireName(text);
      if (name !== undefined) {
        context.report({node, messageId: 'wireName', data: {name}});
      }
    };
    return {
      Literal: node => {
        if (typeof node.value === 'string') {
          check(node, node.value);
        }
      },
      TemplateElement: node => check(node, node.value.raw),
      Identifier: node => check(node, node.name),
    };
  },
};
