import gts from 'gts';

import {layerRule} from './lint/layerRule.js';
import {wireNamesRule} from './lint/wireNames.js';

/** Google's rules by gts, then this repository's own: layers, no default exports. */

const ALL_FILES = ['**/*.ts', '**/*.js'];
const CONFIGURATION_FILES = ['*.config.js', '*.config.ts'];

const noDefaultExports = [
  {
    selector: 'ExportDefaultDeclaration',
    message: 'Use a named export.',
  },
  {
    selector: "ExportSpecifier[exported.name='default']",
    message: 'Use a named export.',
  },
];

const noInterfacePrefix = {
  selector: 'TSInterfaceDeclaration[id.name=/^I[A-Z][a-z]/]',
  message: 'Name the interface without an I prefix.',
};

const config = [
  {ignores: ['dist/**', 'target/**', 'node_modules/**']},
  ...gts,
  {
    files: ['**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {console: 'readonly'},
    },
  },
  {
    files: ALL_FILES,
    plugins: {
      layers: {rules: {order: layerRule, wireNames: wireNamesRule}},
    },
    rules: {
      // `prettier --check` covers formatting of all files, these included.
      'prettier/prettier': 'off',
      'layers/order': 'error',
      'layers/wireNames': 'error',
      'no-restricted-syntax': ['error', noInterfacePrefix, ...noDefaultExports],
      curly: 'error',
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {__dirname: 'readonly', process: 'readonly'},
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      // Parameters that an abstract method asks for and an override leaves aside.
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
    },
  },
  {
    // Tests read answers of any shape; what is expected of them is stated beside.
    files: ['**/test/**/*.test.ts'],
    rules: {'@typescript-eslint/no-explicit-any': 'off'},
  },
  {
    // The tools read a default export.
    files: CONFIGURATION_FILES,
    rules: {'no-restricted-syntax': 'off'},
  },
];

export default config;
