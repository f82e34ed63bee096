import path from 'node:path';

/** An ESLint rule: which folder may import from which. */

const LAYERS = ['base', 'infrastructure', 'features', 'programs'];

/** Packages that run without Node and so may be used in `common` folders. */
const PORTABLE_PACKAGES = new Set([
  'emittery',
  'hdr-histogram-js',
  'xstate',
  'yalps',
  'zod',
]);

const MESSAGES = {
  layer: '{{from}} is below {{to}}: imports go downwards only.',
  nodeModule: 'A common folder must not import {{specifier}}: it needs Node.',
  nodeFolder: 'A common folder must not import from a node folder.',
  testFolder: 'Product code must not import from a test folder.',
  outside: 'Product code must not import from {{folder}}.',
};

/** Reads the place of a file in the source tree from its path relative to the root. */
function describeFile(relativePath) {
  const segments = relativePath.split('/');
  const folders = segments.slice(0, -1);
  const inSource = segments[0] === 'src';
  return {
    inSource,
    layer: inSource ? LAYERS.indexOf(segments[1]) : -1,
    isCommon: folders.includes('common'),
    isNode: folders.includes('node'),
    isTest: folders.includes('test'),
    topFolder: segments[0],
  };
}

/** The package that a bare specifier names. */
function packageName(specifier) {
  const segments = specifier.split('/');
  return specifier.startsWith('@')
    ? segments.slice(0, 2).join('/')
    : segments[0];
}

/** What is wrong with a bare import, if anything. */
function judgePackage(from, specifier) {
  const portable = PORTABLE_PACKAGES.has(packageName(specifier));
  if (from.isCommon && !from.isTest && !portable) {
    return {messageId: 'nodeModule', data: {specifier}};
  }
  return undefined;
}

/** What is wrong with a relative import, if anything. */
function judgeFile(from, to) {
  if (!from.isTest && to.isTest) {
    return {messageId: 'testFolder'};
  }
  if (!from.isTest && !to.inSource) {
    return {messageId: 'outside', data: {folder: to.topFolder}};
  }
  if (to.inSource && to.layer > from.layer) {
    const data = {from: LAYERS[from.layer], to: LAYERS[to.layer]};
    return {messageId: 'layer', data};
  }
  if (from.isCommon && !from.isTest && to.isNode) {
    return {messageId: 'nodeFolder'};
  }
  return undefined;
}

/** Checks every form of import in files under `src`. */
export const layerRule = {
  meta: {type: 'problem', messages: MESSAGES, schema: []},
  create(context) {
    const toRelative = file =>
      path.relative(context.cwd, file).split(path.sep).join('/');
    const from = describeFile(toRelative(context.filename));
    if (!from.inSource) {
      return {};
    }
    const check = source => {
      if (source?.type !== 'Literal' || typeof source.value !== 'string') {
        return;
      }
      const specifier = source.value;
      const target = path.resolve(path.dirname(context.filename), specifier);
      const problem = specifier.startsWith('.')
        ? judgeFile(from, describeFile(toRelative(target)))
        : judgePackage(from, specifier);
      if (problem) {
        context.report({node: source, ...problem});
      }
    };
    return {
      ImportDeclaration: node => check(node.source),
      ExportNamedDeclaration: node => check(node.source),
      ExportAllDeclaration: node => check(node.source),
      ImportExpression: node => check(node.source),
      TSImportType: node => check(node.source),
    };
  },
};
