#include "config/declarationparser.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <sstream>

namespace damaskhall {

namespace {

Error declarationError(const std::string &name, std::string detail)
{
    return {ErrorCode::InvalidValue, Step::CheckDeclaration, name, std::move(detail)};
}

// The INI reader drops sections without keys, so that a service may be known only by its classes.
ServiceDeclaration &findOrAddService(Declaration &declaration, const std::string &name)
{
    for (ServiceDeclaration &candidate : declaration.services) {
        if (candidate.name == name) {
            return candidate;
        }
    }
    return declaration.services.emplace_back(ServiceDeclaration{serviceId(name), name, {}});
}

} // namespace

Result<Declaration> parseDeclaration(const std::string &text, const std::string &name)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return declarationError(name, error.message());
    }
    Declaration declaration;
    for (const auto &[section, body] : tree) {
        const std::size_t space = section.find(' ');
        if (space == std::string::npos) {
            return declarationError(name, "section [" + section + "] has no name");
        }
        const std::string kind = section.substr(0, space);
        const std::string id = section.substr(space + 1);
        if (kind == "service") {
            findOrAddService(declaration, id);
        } else if (kind == "house") {
            declaration.houses.push_back({houseId(id), id});
        } else if (kind == "class") {
            const std::size_t slash = id.find('/');
            const std::string service = id.substr(0, slash);
            const std::string className = id.substr(slash + 1);
            ClassDeclaration declared{classId(service, className), className, WorkKind::Request,
                                      body.get("idempotent", "no") == "yes", 2_s};
            const std::string workKind = body.get("kind", "request");
            declared.kind = workKind == "feed"     ? WorkKind::Feed
                            : workKind == "upload" ? WorkKind::Upload
                                                   : WorkKind::Request;
            findOrAddService(declaration, service).classes.push_back(declared);
        }
    }
    return declaration;
}

} // namespace damaskhall
