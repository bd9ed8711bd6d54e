#include "config/parse.hpp"
#include "config/test_documents.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

using nlohmann::json;
using testing::ElementsAre;
using testing::Field;
using testing::HasSubstr;
using testing::SizeIs;

const json removed = json::value_t::discarded;

class parse_test : public testing::Test {
protected:
    static json sample() { return sample_json(1); }
};

struct parse_case {
    std::string pointer;
    json value;
    std::string found;
    std::string wanted;
    std::string path{}; ///< where the error is expected, if not at `pointer`
};

void expect_one_error(const json& doc, const parse_case& c)
{
    const auto result = parse_document(doc, "all.json");
    ASSERT_FALSE(result) << c.pointer << " was accepted with " << c.value;
    ASSERT_THAT(result.error(), SizeIs(1)) << to_string(result.error());
    const auto& e = result.error().front();
    EXPECT_EQ(e.file, "all.json");
    EXPECT_EQ(e.path, c.path.empty() ? c.pointer : c.path);
    EXPECT_EQ(e.found, c.found) << c.pointer;
    EXPECT_THAT(e.wanted, HasSubstr(c.wanted));
}

// Guards against a documented example that `check` rejects.
TEST_F(parse_test, documented_sample_is_accepted)
{
    const auto doc = parse_files({{"configuration.md", documented_sample(1)}});
    ASSERT_TRUE(doc) << to_string(doc.error());
    const auto& versions = doc->models.at(model_id{"narrator"}).versions;
    EXPECT_EQ(versions.at(version_id{"narrator-4"}).when_cut_off, cut_off_policy::stop);
    EXPECT_EQ(versions.at(version_id{"narrator-3"}).when_cut_off, cut_off_policy::serve);
    EXPECT_EQ(versions.at(version_id{"narrator-4"}).rollout[1].minimum_time, 30min);
    EXPECT_EQ(doc->routes.at("report").kind, request_class::long_request);
    EXPECT_EQ(doc->upstreams.at(upstream_id{"sierra-a-indices"}).service, "indices");
}

// Guards against accepting invalid values, which later code does not check again.
TEST_F(parse_test, each_bad_value_is_reported_at_its_path)
{
    const std::string version = "/models/narrator/versions/narrator-4";
    const std::string engine = "/upstreams/sierra-a-engine-1";
    const std::vector<parse_case> cases{
        {"/models/narrator/quality", 1.5, "1.5", "a number from 0 to 1"},
        {"/models/narrator/quality", -0.1, "-0.1", "a number from 0 to 1"},
        {"/models/narrator/quality", removed, "nothing", "a number from 0 to 1"},
        {"/models/spare", json{{"quality", 1}, {"versions", json::object()}}, "no version",
         "at least one version", "/models/spare/versions"},
        {"/models/narrator/speed", 1, "an unknown key", "\"quality\", \"versions\""},
        {"/models/a b", json::object(), "the name \"a b\"", "a name of 1 to 64"},
        {version + "/state", "new", "\"new\"", "one of \"rolling\", \"settled\", \"withdrawn\""},
        {version + "/cost_per_1k_input", -1, "-1", "a number from 0 upwards"},
        {version + "/cost_per_1k_output", "1", "\"1\"", "a number"},
        {version + "/when_cut_off", true, "true", "one of \"serve\", \"stop\""},
        {version + "/rollout", json::array(), "no stage", "at least one stage"},
        {version + "/rollout/1/exposed_basis_points", 100, "100", "more than the previous"},
        {version + "/rollout/0/exposed_basis_points", 0, "0", "a whole number from 1 to 10000"},
        {version + "/rollout/2/exposed_basis_points", 10001, "10001", "a whole number from 1"},
        {"/teams/bulletins/token_sha256", "12", "\"12\"", "64 hexadecimal digits"},
        {"/teams/bulletins/weight", 0, "0", "a number greater than 0"},
        {"/teams/bulletins/allowed", json::array(), "no name", "at least one name"},
        {"/teams/bulletins/allowed/0", 7, "7", "a name"},
        {"/teams/bulletins/limits/spend_per_hour", -2, "-2", "a number from 0 upwards"},
        {"/routes/report/deadline_ms", 0, "0", "a whole number from 1"},
        {"/routes/report/quality_target", 2, "2", "a number from 0 to 1"},
        {"/routes/report/steps", "brief", "\"brief\"", "an array"},
        {"/services/indices/calls/read/method", "get", "\"get\"", "one of GET"},
        {"/services/indices/calls/read/path", "v1", "\"v1\"", "starts with '/'"},
        {"/services/indices/calls/read/idempotent", removed, "nothing", "true or false"},
        {engine + "/address", "host:1", "\"host:1\"", "IP:port"},
        {engine + "/address", "127.0.0.1:0", "\"127.0.0.1:0\"", "a port from 1"},
        {engine + "/slots", 0, "0", "a whole number from 1"},
        {engine + "/speed", 0, "0", "greater than 0"},
        {engine + "/service", "indices", "a service", "no service for an engine"},
        {engine + "/versions", removed, "nothing", "an array of names"},
        {"/upstreams/sierra-a-indices/versions", json::array(), "versions", "no versions"},
        {"/extra", 1, "an unknown key", "\"models\", \"routes\""},
        {"/models", json::array(), "[]", "an object"},
    };
    for (const auto& c : cases) {
        auto doc = c.path.empty() && c.pointer == "/models" ? json::object() : sample();
        expect_one_error(with_change(doc, c.pointer, c.value), c);
    }
}

// Guards against unresolved or ambiguous names in an accepted document.
TEST_F(parse_test, each_bad_reference_is_reported_at_its_path)
{
    const std::string replacement = "/models/narrator/versions/narrator-4/replacement";
    const json brief = sample().at("/models/brief"_json_pointer);
    auto copied = brief;
    copied["versions"]["brief"] = copied["versions"]["brief-1"];
    copied["versions"].erase("brief-1");
    const std::vector<parse_case> cases{
        {replacement, "narrator-9", "\"narrator-9\"", "another version of model \"narrator\""},
        {replacement, "brief-1", "\"brief-1\"", "another version of model \"narrator\""},
        {replacement, "narrator-4", "\"narrator-4\"", "another version"},
        {"/models/narrator/versions/narrator-3/state", "withdrawn",
         "\"narrator-3\", which is withdrawn", "not withdrawn", replacement},
        {"/models/spare", brief, "a version that model \"brief\" also has", "unique",
         "/models/spare/versions/brief-1"},
        {"/models/spare", copied, "a name that a version also has", "differ", "/models/brief"},
        {"/teams/bulletins/allowed/1", "brief-9", "\"brief-9\"", "a model or a version"},
        {"/teams/other", sample().at("/teams/bulletins"_json_pointer),
         "the token of team \"bulletins\"", "a token for each team", "/teams/other/token_sha256"},
        {"/routes/report/steps/0", "brief-1", "\"brief-1\"", "the name of a model"},
        {"/routes/report/steps/0", "narrator", "\"narrator\" a second time", "once",
         "/routes/report/steps/1"},
        {"/routes/brief", sample().at("/routes/report"_json_pointer),
         "a name that a model also has", "differ"},
        {"/upstreams/sierra-a-engine-1/versions/0", "n", "\"n\"", "the name of a version"},
        {"/upstreams/sierra-a-indices/service", "sales", "\"sales\"", "the name of a service"},
        {"/upstreams/sierra-a-indices/address", "127.0.0.1:6001",
         "the address of upstream \"sierra-a-engine-1\"", "an address for each upstream"},
    };
    for (const auto& c : cases) {
        expect_one_error(with_change(sample(), c.pointer, c.value), c);
    }
}

// Guards against one file silently overriding a definition in another.
TEST_F(parse_test, name_in_two_files_is_an_error_that_names_both)
{
    const auto service = R"({"services": {"x": {"calls": {}}}})";
    const auto result = parse_files({{"a.json", service}, {"b.json", service}});
    ASSERT_FALSE(result);
    ASSERT_THAT(result.error(), SizeIs(1));
    EXPECT_EQ(to_string(result.error().front()),
              "b.json: /services/x: found a second definition, the first being in a.json, "
              "expected one definition");
}

// Guards against a duplicate key that is silently dropped: the JSON parser keeps only the last one.
TEST_F(parse_test, name_twice_in_one_object_is_an_error)
{
    const auto result =
        parse_files({{"a.json", R"({"services": {"x": {"calls": {}}, "x": {"calls": {}}}})"}});
    ASSERT_FALSE(result);
    EXPECT_THAT(result.error(), ElementsAre(Field(&config_error::path, "/services/x")));
}

TEST_F(parse_test, errors_name_the_file_of_each_definition)
{
    const auto result = parse_files({{"a.json", R"({"services": {"x": {}}})"},
                                     {"b.json", R"({"services": {"y": {}}, "teams": 1})"},
                                     {"c.json", "["}});
    ASSERT_FALSE(result);
    EXPECT_THAT(result.error(), ElementsAre(Field(&config_error::file, "c.json"),
                                            Field(&config_error::file, "b.json"),
                                            Field(&config_error::file, "a.json"),
                                            Field(&config_error::file, "b.json")));
}

// Guards against a stack overflow caused by deeply nested values.
TEST_F(parse_test, deeply_nested_value_is_refused)
{
    const auto result = parse_files({{"a.json", std::string(100000, '[')}});
    ASSERT_FALSE(result);
    const auto closed = std::string(1000, '[') + std::string(1000, ']');
    EXPECT_FALSE(parse_files({{"a.json", closed}}));
}

// Guards against a digest that depends on the notation of a number or on omitted defaults.
TEST_F(parse_test, canonical_json_is_stable)
{
    const auto doc = parse_document(sample());
    ASSERT_TRUE(doc);
    const auto canonical = to_json(*doc);
    const auto again = parse_document(json::parse(canonical.dump()));
    ASSERT_TRUE(again) << to_string(again.error());
    EXPECT_EQ(*again, *doc);
    EXPECT_EQ(to_json(*again).dump(), canonical.dump());
    const auto respelled = parse_document(with_change(sample(), "/teams/bulletins/weight", 2.0));
    EXPECT_EQ(document_digest(*respelled), document_digest(*doc));
    const auto changed = parse_document(with_change(sample(), "/teams/bulletins/weight", 3));
    EXPECT_NE(document_digest(*changed), document_digest(*doc));
}

TEST_F(parse_test, empty_document_is_valid)
{
    const auto doc = parse_files({});
    ASSERT_TRUE(doc);
    EXPECT_EQ(*doc, document{});
}

} // namespace
} // namespace wagtailhitch
