import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import {expect, it} from 'vitest';

import {repositoryRoot} from '../support/managedProcess.js';
import {readSession, sessionNames} from './goldenFiles.js';

/** The examples of docs/CALLERS.md are those of the golden sessions. */

/** Fewer would mean that the page is no longer read as it should be. */
const LEAST_EXAMPLES = 10;

it('quotes texts, paths and findings from the sessions', () => {
  const page = readFileSync(join(repositoryRoot(), 'docs/CALLERS.md'), 'utf8');
  const quotes = [
    ...page.matchAll(/"(?:content|expected|digest|slot)":"([^"…]+)"/g),
    ...page.matchAll(/^(?:GET|POST) (\/v1\/services\/\S+)$/gm),
  ].map(match => match[1]);
  const sessions = JSON.stringify(sessionNames().map(readSession));
  expect(quotes.length).toBeGreaterThanOrEqual(LEAST_EXAMPLES);
  expect(quotes.filter(quote => !sessions.includes(quote!))).toEqual([]);
});
