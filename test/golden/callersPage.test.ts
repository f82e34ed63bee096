import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import {expect, it} from 'vitest';

import {repositoryRoot} from '../support/managedProcess.js';
import {readSession, sessionNames} from './goldenFiles.js';

/** The examples in docs/CALLERS.md must be taken from the golden sessions. */

/** Fewer matches indicate that the patterns no longer fit the page. */
const MINIMUM_EXAMPLES = 10;

it('docs/CALLERS.md quotes only texts, paths and findings of the golden sessions', () => {
  const page = readFileSync(join(repositoryRoot(), 'docs/CALLERS.md'), 'utf8');
  const quotes = [
    ...page.matchAll(/"(?:content|expected|digest|slot)":"([^"…]+)"/g),
    ...page.matchAll(/^(?:GET|POST) (\/v1\/services\/\S+)$/gm),
  ].map(match => match[1]);
  const sessions = JSON.stringify(sessionNames().map(readSession));
  expect(quotes.length).toBeGreaterThanOrEqual(MINIMUM_EXAMPLES);
  expect(quotes.filter(quote => !sessions.includes(quote!))).toEqual([]);
});
