package damsonworks.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ListNewsTest {
    @Test
    void aVersionIsToldOnceAndNotByThoseWhoHeardItFromTwo() {
        ListNews news = new ListNews();
        assertThat(news.told(41)).isTrue();
        assertThat(news.told(41)).isFalse();
        byte[] message = news.message();
        assertThat(ListNews.is(message)).isTrue();
        assertThat(ListNews.version(message)).isEqualTo(41);
        assertThat(news.message()).isNull();
        news.told(42);
        news.heard(41);
        news.heard(42);
        assertThat(news.message()).isNotNull();
        news.told(43);
        news.heard(43);
        news.heard(43);
        assertThat(news.message()).isNull();
    }

    @Test
    void whatIsCutOrOfAnotherKindIsNoVersion() {
        assertThat(ListNews.is(new byte[0])).isFalse();
        assertThat(ListNews.is(new byte[ListNews.LENGTH])).isFalse();
        assertThat(ListNews.is(new byte[] {'V', 0, 0, 0})).isFalse();
        assertThat(ListNews.is(new byte[256])).isFalse();
    }

    /** 72 proxies of which all but three have a silent watch, each message lost with a chance of three in ten. */
    @Test
    void whoseWatchIsSilentLearnsOfAChangeFromThoseFewThatWereTold() {
        SplittableRandom random = new SplittableRandom(5);
        int proxies = 72;
        ListDoubt[] doubts = new ListDoubt[proxies];
        ListNews[] news = new ListNews[proxies];
        for (int p = 0; p < proxies; p++) {
            doubts[p] = new ListDoubt(3500, 1000, 10 * p);
            doubts[p].told(41, true, java.util.List.of());
            news[p] = new ListNews();
            news[p].told(41);
            news[p].message();
        }
        int sent = 0;
        for (int p : new int[] {3, 30, 60}) { // each at its own moment; all messages come before the next moment
            news[p].told(42);
            byte[] message = news[p].message();
            for (int to = 0; message != null && to < proxies; to++) {
                if (to != p && random.nextInt(10) >= 3) {
                    news[to].heard(ListNews.version(message));
                    doubts[to].claimed(100, ListNews.version(message));
                }
            }
            sent += message == null ? 0 : 1;
        }
        int know = 0;
        for (int p = 0; p < proxies; p++) {
            know += doubts[p].dueAt() <= 100 + 1000 + 10 * p ? 1 : 0;
        }
        assertThat(sent).isBetween(2, 3);
        assertThat(know).isGreaterThan(60);
    }
}
