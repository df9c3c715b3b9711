import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from './create-metrics';

describe('metrics in the Prometheus text format', () => {
  it('exports latency quantiles of each service, the tail included', async () => {
    const metrics = createMetrics();
    for (let answer = 0; answer < 99; answer += 1) metrics.answered('stock', 5, 10);
    metrics.answered('stock', 5, 2_000);
    const { text } = await metrics.export();
    assert.match(text, /coltsfootworks_answers_total\{service="stock"\} 100/);
    assert.match(text, /coltsfootworks_answer_ms\{service="stock",quantile="0.5"\} 10\b/);
    const tail = /coltsfootworks_answer_ms\{service="stock",quantile="0.999"\} (\d+)/.exec(text);
    assert.ok(Math.abs(Number(tail?.[1]) - 2_000) < 20, `the slowest answer shows: ${tail?.[1]}`);
  });

  it('reads gauges when asked, and counts refusals by kind and outcome', async () => {
    const metrics = createMetrics();
    let value = 1;
    metrics.gauge('coltsfootworks_test', 'A test value', () => value);
    value = 7;
    metrics.refused('overloaded', 'notRun');
    const { text } = await metrics.export();
    assert.match(text, /coltsfootworks_test 7/);
    assert.match(text, /refusals_total\{refusal="overloaded",outcome="notRun"\} 1/);
  });

  it('reads gauges with one label when asked', async () => {
    const metrics = createMetrics();
    const values = new Map([['south', 1]]);
    metrics.labelledGauge('coltsfootworks_test', 'A test value', 'region', () => values);
    values.set('south', 4).set('east', 2);
    const { text } = await metrics.export();
    assert.match(text, /coltsfootworks_test\{region="south"\} 4/);
    assert.match(text, /coltsfootworks_test\{region="east"\} 2/);
  });

  it('counts answers without end by their shape, and their bytes', async () => {
    const metrics = createMetrics();
    for (const bytes of [10, 20]) metrics.endless({ shape: 'partialEvent', bytes });
    const { text } = await metrics.export();
    assert.match(text, /endless_answers_total\{shape="partialEvent"\} 2/);
    assert.match(text, /endless_answer_bytes_total\{shape="partialEvent"\} 30/);
  });

  it('counts requests by the servers that each was sent to, many of them under one label', async () => {
    const metrics = createMetrics();
    for (const count of [1, 1, 2, 6, 40]) metrics.attempts('stock', count);
    const { text } = await metrics.export();
    const name = 'coltsfootworks_requests_by_attempts_total';
    for (const [attempts, requests] of [
      ['1', 2],
      ['2', 1],
      ['over 5', 2],
    ]) {
      assert.ok(text.includes(`${name}{service="stock",attempts="${attempts}"} ${requests}`));
    }
  });
});
