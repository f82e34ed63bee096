import path from 'node:path';

/** An ESLint rule that restricts which folders may import from each other. */

/** Lowest layer first. */
const LAYERS = ['base', 'infrastructure', 'features', 'programs'];

/** Packages that run without Node.js, which `common` folders may import. */
const PORTABLE_PACKAGES = new Set([
  'emittery',
  'hdr-histogram-js',
  'xstate',
  'yalps',
  'zod',
]);

const MESSAGES = {
  layer: '{{from}} must not import from {{to}}, which is a higher layer.',
  nodeModule:
    'A common folder must not import {{specifier}}, which needs Node.js.',
  nodeFolder: 'A common folder must not import from a node folder.',
  testFolder: 'Product code must not import from a test folder.',
  outside: 'Product code must not import from {{folder}}.',
};

/** Determines the layer and the kind of folder of a file from its path relative to the root. */
function classifyFile(relativePath) {
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

/** Returns the package name of a bare import specifier. */
function packageName(specifier) {
  const segments = specifier.split('/');
  return specifier.startsWith('@')
    ? segments.slice(0, 2).join('/')
    : segments[0];
}

/** Checks the import of a package; returns the problem to report, or undefined. */
function checkPackageImport(from, specifier) {
  const portable = PORTABLE_PACKAGES.has(packageName(specifier));
  if (from.isCommon && !from.isTest && !portable) {
    return {messageId: 'nodeModule', data: {specifier}};
  }
  return undefined;
}

/** Checks a relative import; returns the problem to report, or undefined. */
function checkFileImport(from, to) {
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

/** Checks all forms of imports and re-exports in files under `src`. */
export const layerRule = {
  meta: {type: 'problem', messages: MESSAGES, schema: []},
  create(context) {
    const toRelative = file =>
      path.relative(context.cwd, file).split(path.sep).join('/');
    const from = classifyFile(toRelative(context.filename));
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
        ? checkFileImport(from, classifyFile(toRelative(target)))
        : checkPackageImport(from, specifier);
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
